package org.zinniahoist.daemon.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.LinkConnection
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import java.util.concurrent.atomic.AtomicInteger

internal class LiveCallersTest : LiveScenario() {
    @Nested
    inner class WholeAnswers {
        @Test
        fun `a complete response is forwarded`(): Unit = runBlocking {
            val entry = fixture.ready(FakeSidecar("s", ::engine, whole))
            expectThat(fixture.complete(entry).body()).isEqualTo("whole answer")
        }

        @Test
        fun `a response with a missing, duplicate or reordered chunk is never forwarded`(): Unit = runBlocking {
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
        fun `late and foreign chunks do not reach another response`(): Unit = runBlocking {
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
        fun `an idempotent request is retried after its link is lost`(): Unit = runBlocking {
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
        fun `a non-idempotent call that may have run is never retried`(): Unit = runBlocking {
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
        fun `a refused non-idempotent call is retried on another upstream with the same key`(): Unit = runBlocking {
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
        fun `a caller over its concurrency limit is refused`(): Unit = runBlocking {
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
        fun `a daemon without settings refuses requests`(): Unit = runBlocking {
            fixture.inForce.settings = null
            val entry = fixture.entry("e1")
            expectThat(fixture.complete(entry).reason()).isEqualTo("CONTROL_UNAVAILABLE")
            expectThat(fixture.call(entry, "GET", "/health/ready").statusCode()).isEqualTo(503)
            expectThat(fixture.call(entry, "GET", "/health/live").statusCode()).isEqualTo(200)
        }
    }
}
