package org.zinniahoist.daemon.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.Verdict
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.endsWith
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull

internal class LiveStreamsTest : LiveScenario() {
    @Nested
    inner class Streams {
        @Test
        fun `a stream forwards the events of the engine and ends with DONE`(): Unit = runBlocking {
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
        fun `an interrupted stream resumes where it stopped`(): Unit = runBlocking {
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
        fun `an interrupted non-idempotent stream ends with an error and no DONE`(): Unit = runBlocking {
            val sidecar = FakeSidecar("s", ::engine) { link, start ->
                link.chunk(start, 0, token("a", 3), 3)
                link.end(start, 1, Verdict.MayHaveRun(FailureReason.UPSTREAM_CRASHED))
            }
            val answer = fixture.complete(fixture.ready(sidecar), stream = true, "Idempotency-Key" to "k")
            expectThat(answer.body()).contains("event: error\ndata: {").contains("\"verdict\":\"may-have-run\"")
            expectThat("[DONE]" in answer.body()).isFalse()
        }

        @Test
        fun `an error response of an engine keeps its status`(): Unit = runBlocking {
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
    inner class Leaving {
        @Test
        fun `a draining sidecar receives no new attempts`(): Unit = runBlocking {
            val sidecar = FakeSidecar("s", ::engine, whole)
            val entry = fixture.ready(sidecar)
            sidecar.draining = true
            until { fixture.complete(entry).reason() == "NO_UPSTREAM" }
        }

        @Test
        fun `a draining entry completes requests in flight and refuses new ones`(): Unit = runBlocking {
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
