package org.zinniahoist.daemon.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.LinkConnection
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicInteger

class LiveCallersTest {
    private val fixture = EntryFixture()

    @AfterEach
    fun close() = fixture.close()

    private val whole: suspend FakeSidecar.(LinkConnection, AttemptMessage.StartAttempt) -> Unit = { link, start ->
        link.chunk(start, 0, "whole ")
        link.chunk(start, 1, "answer")
        link.end(start, 2)
    }

    private suspend fun EntryFixture.ready(vararg sidecars: FakeSidecar): Entry {
        val entry = entry("e1", *sidecars)
        until { "\"m\"" in call(entry, "GET", "/v1/models").body() || sidecars.isEmpty() }
        until { complete(entry).statusCode() != 503 || sidecars.isEmpty() }
        return entry
    }

    private fun HttpResponse<String>.verdict() = json["verdict"]?.jsonPrimitive?.content

    private fun HttpResponse<String>.reason() =
        if (body().startsWith("{")) json["reason"]?.jsonPrimitive?.content else null

    @Nested
    inner class WholeAnswers {
        @Test
        fun `an answer is passed on whole`(): Unit = runBlocking {
            val entry = fixture.ready(FakeSidecar("s", ::engine, whole))
            expectThat(fixture.complete(entry).body()).isEqualTo("whole answer")
        }

        @Test
        fun `an answer with a lost, repeated or swapped chunk is never passed on`(): Unit = runBlocking {
            val sequences = listOf(listOf(0, 2), listOf(0, 0), listOf(1, 0), listOf(0), emptyList())
            for (sequence in sequences) {
                EntryFixture().use { other ->
                    val sidecar = FakeSidecar("s", ::engine) { link, start ->
                        sequence.forEach { link.chunk(start, it, "part") }
                        link.end(start, 3)
                    }
                    val answer = other.complete(other.ready(sidecar))
                    expectThat(answer.statusCode() to answer.reason()).isEqualTo(502 to "INCOMPLETE_ANSWER")
                }
            }
        }

        @Test
        fun `late and foreign chunks do not reach another answer`(): Unit = runBlocking {
            val first = CompletableDeferred<AttemptMessage.StartAttempt>()
            val sidecar = FakeSidecar("s", ::engine) { link, start ->
                if (first.complete(start)) {
                    link.end(start, 0, Verdict.NotRun(RefusalReason.OVERLOADED))
                } else {
                    link.chunk(first.await(), 0, "late")
                    link.chunk(start, 0, "own")
                    link.end(first.await(), 1)
                    link.end(start, 1)
                }
            }
            expectThat(fixture.complete(fixture.ready(sidecar)).body()).isEqualTo("own")
        }
    }

    @Nested
    inner class Retries {
        @Test
        fun `a lost link is retried for an idempotent request`(): Unit = runBlocking {
            val calls = AtomicInteger()
            val behaviour: suspend FakeSidecar.(LinkConnection, AttemptMessage.StartAttempt) -> Unit = { link, start ->
                if (calls.incrementAndGet() == 2) {
                    link.chunk(start, 0, "half")
                    link.close("crash")
                } else {
                    whole(link, start)
                }
            }
            val entry = fixture.ready(FakeSidecar("s", ::engine, behaviour), FakeSidecar("s2", ::engine, behaviour))
            expectThat(fixture.complete(entry).body()).isEqualTo("whole answer")
            expectThat(calls.get()).isGreaterThan(2)
        }

        @Test
        fun `a non-idempotent call that may have run is never run again`(): Unit = runBlocking {
            val calls = AtomicInteger()
            val behaviour: suspend FakeSidecar.(LinkConnection, AttemptMessage.StartAttempt) -> Unit = { link, _ ->
                calls.incrementAndGet()
                link.close("crash")
            }
            val entry = fixture.entry("e1", FakeSidecar("s", ::plain, behaviour), FakeSidecar("s2", ::plain, behaviour))
            until { fixture.call(entry, "POST", "/services/orders/confirm", "{}").reason() != "NO_UPSTREAM" }
            expectThat(calls.get()).isEqualTo(1)
            val answer = fixture.call(entry, "POST", "/services/orders/confirm", "{}")
            expectThat(answer.verdict()).isEqualTo("may-have-run")
            expectThat(calls.get()).isEqualTo(2)
        }

        @Test
        fun `a refused non-idempotent call runs elsewhere under the same key`(): Unit = runBlocking {
            val behaviour: suspend FakeSidecar.(LinkConnection, AttemptMessage.StartAttempt) -> Unit = { link, start ->
                if (fixtureStarts.incrementAndGet() == 1) {
                    link.end(start, 0, Verdict.NotRun(RefusalReason.OVERLOADED))
                } else {
                    whole(link, start)
                }
            }
            val sidecar = FakeSidecar("s", ::plain, behaviour)
            val entry = fixture.entry("e1", sidecar)
            until { fixture.call(entry, "POST", "/services/orders/confirm", "{}").statusCode() == 200 }
            val keys = List(2) { sidecar.starts.receive().idempotency?.key }
            expectThat(keys[0]).isEqualTo(keys[1]).isNotEqualTo(null)
        }

        private val fixtureStarts = AtomicInteger()
    }

    @Nested
    inner class Streams {
        @Test
        fun `a stream ends with DONE and its events are those of the engine`(): Unit = runBlocking {
            val sidecar = FakeSidecar("s", ::engine) { link, start ->
                repeat(100) {
                    awaitCredit(start)
                    link.chunk(start, it, token("$it", 3), 3)
                }
                link.end(start, 100)
            }
            val answer = fixture.complete(fixture.ready(sidecar), stream = true)
            val expected = (0 until 100).joinToString("") { "data: ${token("$it", 3)}\n\n" } + "data: [DONE]\n\n"
            expectThat(answer.body()).isEqualTo(expected)
        }

        @Test
        fun `a broken stream goes on where it stopped`(): Unit = runBlocking {
            val sidecar = FakeSidecar("s", ::engine) { link, start ->
                val resumed = "\"resume_tokens\":1" in start.call.body.decodeToString()
                link.chunk(start, 0, token(if (resumed) "b" else "a", 3), 3)
                val crash = Verdict.MayHaveRun(FailureReason.UPSTREAM_CRASHED)
                link.end(start, 1, if (resumed) Verdict.Completed else crash)
            }
            val answer = fixture.complete(fixture.ready(sidecar), stream = true)
            val events = listOf(token("a", 3), token("b", 3), "[DONE]").joinToString("") { "data: $it\n\n" }
            expectThat(answer.body()).isEqualTo(events)
        }

        @Test
        fun `a broken stream that must run once ends with an error and no DONE`(): Unit = runBlocking {
            val sidecar = FakeSidecar("s", ::engine) { link, start ->
                link.chunk(start, 0, token("a", 3), 3)
                link.end(start, 1, Verdict.MayHaveRun(FailureReason.UPSTREAM_CRASHED))
            }
            val answer = fixture.complete(fixture.ready(sidecar), stream = true, "Idempotency-Key" to "k")
            expectThat(answer.body()).contains("event: error\ndata: {").contains("\"verdict\":\"may-have-run\"")
            expectThat("[DONE]" in answer.body()).isFalse()
        }

        @Test
        fun `an engine's refusal keeps its status`(): Unit = runBlocking {
            val sidecar = FakeSidecar("s", ::engine) { link, start ->
                link.chunk(start, 0, "{\"error\":\"too long\"}")
                link.end(start, 1, status = 400)
            }
            val answer = fixture.complete(fixture.ready(sidecar), stream = true)
            expectThat(answer.statusCode() to answer.body()).isEqualTo(400 to "{\"error\":\"too long\"}")
        }

        @Test
        fun `a caller that disconnects cancels its attempt`(): Unit = runBlocking {
            val sidecar = FakeSidecar("s", ::engine) { link, start ->
                if ("\"stream\":true" in start.call.body.decodeToString()) {
                    link.chunk(start, 0, token("a", 3), 3)
                } else {
                    whole(link, start)
                }
            }
            val entry = fixture.ready(sidecar)
            java.net.Socket(entry.httpEndpoint.host, entry.httpEndpoint.port).use { socket ->
                val body = """{"model":"m","prompt":"p","stream":true}"""
                val head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token-shop\r\n" +
                    "Content-Length: ${body.length}\r\n\r\n"
                socket.getOutputStream().write((head + body).toByteArray())
                socket.getInputStream().read()
            }
            sidecar.cancels.receive()
        }
    }

    @Nested
    inner class Refusals {
        @ParameterizedTest
        @ValueSource(
            strings = [
                "", "{", "[]", "nul", "{\"model\":1,\"prompt\":\"p\"}", "{\"prompt\":\"p\"}", "{\"model\":\"m\"}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}",
                "{\"model\":\"m\",\"prompt\":\"p\",\"resume_tokens\":3}",
            ],
        )
        fun `a malformed body is refused as not run`(body: String): Unit = runBlocking {
            val answer = fixture.call(fixture.entry("e1"), "POST", "/v1/completions", body)
            expectThat(answer.statusCode()).isEqualTo(400)
            expectThat(answer.verdict() to answer.reason()).isEqualTo("not-run" to "MALFORMED")
        }

        @Test
        fun `a wrong token, route, header, size or model is refused as not run`(): Unit = runBlocking {
            val entry = fixture.entry("e1")
            suspend fun call(
                path: String,
                token: String?,
                body: String,
                header: Pair<String, String>,
            ) = fixture.call(entry, "POST", path, body, token, header).let { it.statusCode() to it.reason() }
            val good = """{"model":"m","prompt":"p"}"""
            val none = "X-Other" to "1"
            expectThat(call("/v1/completions", "other", good, none)).isEqualTo(401 to "UNAUTHORIZED")
            expectThat(call("/v1/completions", null, good, none)).isEqualTo(401 to "UNAUTHORIZED")
            expectThat(call("/v1/else", "token-shop", good, none)).isEqualTo(404 to "UNKNOWN_ROUTE")
            expectThat(call("/v1/completions", "token-shop", good, none)).isEqualTo(404 to "UNKNOWN_ROUTE")
            val timeout = "X-Request-Timeout-Ms" to "soon"
            expectThat(call("/services/orders/x", "token-shop", good, timeout)).isEqualTo(400 to "MALFORMED")
            val key = "Idempotency-Key" to "k".repeat(256)
            expectThat(call("/services/orders/x", "token-shop", good, key)).isEqualTo(400 to "MALFORMED")
            expectThat(call("/services/orders/x", "token-shop", "x".repeat(1_100_000), none))
                .isEqualTo(413 to "BODY_TOO_LARGE")
            expectThat(call("/services/orders/x", "token-shop", good, none)).isEqualTo(503 to "NO_UPSTREAM")
        }

        @Test
        fun `a caller over its concurrency is refused`(): Unit = runBlocking {
            val gate = CompletableDeferred<Unit>()
            val sidecar = FakeSidecar("s", ::plain) { link, start ->
                gate.await()
                whole(link, start)
            }
            val entry = fixture.entry("e1", sidecar)
            until { fixture.call(entry, "GET", "/v1/models", token = "token-narrow").statusCode() == 200 }
            val first = async {
                var answer = fixture.call(entry, "POST", "/services/orders/x", token = "token-narrow")
                while (answer.statusCode() == 503) {
                    answer = fixture.call(entry, "POST", "/services/orders/x", token = "token-narrow")
                }
                answer
            }
            sidecar.starts.receive()
            val second = fixture.call(entry, "POST", "/services/orders/x", token = "token-narrow")
            expectThat(second.statusCode() to second.reason()).isEqualTo(429 to "CONCURRENCY_LIMIT")
            gate.complete(Unit)
            expectThat(first.await().body()).isEqualTo("whole answer")
        }

        @Test
        fun `a daemon without settings takes no work`(): Unit = runBlocking {
            fixture.inForce.settings = null
            val entry = fixture.entry("e1")
            expectThat(fixture.complete(entry).reason()).isEqualTo("CONTROL_UNAVAILABLE")
            expectThat(fixture.call(entry, "GET", "/health/ready").statusCode()).isEqualTo(503)
            expectThat(fixture.call(entry, "GET", "/health/live").statusCode()).isEqualTo(200)
        }
    }

    @Nested
    inner class Leaving {
        @Test
        fun `a draining sidecar gets no new work`(): Unit = runBlocking {
            val sidecar = FakeSidecar("s", ::engine, whole)
            val entry = fixture.ready(sidecar)
            sidecar.draining = true
            until { fixture.complete(entry).reason() == "NO_UPSTREAM" }
        }

        @Test
        fun `a draining entry finishes what it has and refuses the rest`(): Unit = runBlocking {
            val gate = CompletableDeferred<Unit>()
            val sidecar = FakeSidecar("s", ::engine) { link, start ->
                if ("\"stream\":true" in start.call.body.decodeToString()) gate.await()
                link.chunk(start, 0, token("a", 3), 3)
                link.end(start, 1)
            }
            val entry = fixture.ready(sidecar)
            val running = async { fixture.complete(entry, stream = true) }
            until { "\"stream\":true" in sidecar.starts.receive().call.body.decodeToString() }
            val drained = async { entry.drain() }
            until { fixture.call(entry, "GET", "/health/ready").statusCode() == 503 }
            val refused = fixture.complete(entry)
            expectThat(refused.statusCode() to refused.reason()).isEqualTo(503 to "DRAINING")
            expectThat(refused.headers().firstValue("Retry-After").get()).isEqualTo("1")
            gate.complete(Unit)
            expectThat(running.await().body()).endsWith("data: [DONE]\n\n")
            drained.await()
            expectThat(sidecar.cancels.tryReceive().getOrNull()).isNull()
        }
    }
}
