package org.zinniahoist.gateway.upstream

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.zinniahoist.gateway.entry.UpstreamFixture
import org.zinniahoist.gateway.metrics.GatewayMetrics
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reports, orders and pages of the platform's list. The timeout is too far away to end an answer. */
internal class UpstreamCallsTest {
    private val fixture = UpstreamFixture()

    @AfterEach
    fun close() = fixture.close()

    private suspend fun get(upstream: RawUpstream) =
        withTimeout(BOUND) { fixture.calls.get(upstream.endpoint, "/report", timeout = 60.seconds) }

    /** Guards against a process whose memory fills with a report, an order's answer or a page that has no end. */
    @ParameterizedTest
    @EnumSource
    fun `a call whose answer has no end fails and its connection is closed`(kind: EndlessAnswer): Unit = runBlocking {
        val endless = fixture.rawUpstream(kind.write)
        expectThat(get(endless)).isNull()
        expectThat(endless.awaitClose(BOUND)).describedAs { "closed after ${endless.written} bytes: $this" }.isTrue()
        expectThat(endless.written).isLessThan(MOST_BYTES)
    }

    /** Guards against a report that is taken from the late answer to a request on the same connection. */
    @Test
    fun `bytes without end behind an answer are no answer to the next call`(): Unit = runBlocking {
        val late = fixture.rawUpstream {
            text("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1")
            withoutEnd { "${EndlessAnswer.head()}content-length: 1\r\n\r\n2" }
        }
        repeat(3) {
            val answer = get(late) ?: return@repeat
            expectThat(answer.body.decodeToString()).isEqualTo("1")
        }
        expectThat(late.awaitClose(BOUND)).isTrue()
        expectThat(late.written).isLessThan(MOST_BYTES)
    }

    /** Guards against an operator who can't see which limit was exceeded. */
    @Test
    fun `an answer without end is counted by its part`(): Unit = runBlocking {
        val metrics = GatewayMetrics()
        UpstreamCalls(UpstreamFixture.Names, metrics).use { calls ->
            val endless = fixture.rawUpstream(EndlessAnswer.INTERIM_HEADS.write)
            calls.get(endless.endpoint, "/report", timeout = 60.seconds)
        }
        // The answer's reader may be told before the counter.
        withTimeout(BOUND) { while (COUNTED !in metrics.text()) delay(10.milliseconds) }
    }

    private companion object {
        val BOUND = 8.seconds
        const val COUNTED = """{event="answer_too_long",outcome="interim_heads"} 1.0"""

        /** A megabyte of a call and what the buffers of two sockets of the loopback may hold. */
        const val MOST_BYTES = 17L shl 20
    }
}
