package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
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

/** Tests control calls, such as reports, orders and list pages. The time-outs are too long to end a response. */
internal class UpstreamCallsTest {
    private val fixture = UpstreamFixture()

    @AfterEach
    fun close() = fixture.close()

    private suspend fun get(upstream: RawUpstream) =
        withTimeout(TIMEOUT) { fixture.calls.get(upstream.endpoint, "/report", timeout = 60.seconds) }

    /** Guards against an endless report, order response or list page that exhausts the heap. */
    @ParameterizedTest
    @EnumSource
    fun `a call with an endless response fails and its connection is closed`(kind: EndlessAnswer): Unit = runBlocking {
        val endless = fixture.rawUpstream(kind.write)
        expectThat(get(endless)).isNull()
        expectThat(endless.awaitClose(TIMEOUT)).describedAs { "closed after ${endless.written} bytes: $this" }.isTrue()
        expectThat(endless.written).isLessThan(MAXIMUM_BYTES)
    }

    /** Guards against using a late response to an earlier request on the same connection as a report. */
    @Test
    fun `endless bytes after a response are not the response to the next call`(): Unit = runBlocking {
        val late = fixture.rawUpstream {
            text("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1")
            writeEndlessly { "${EndlessAnswer.head()}content-length: 1\r\n\r\n2" }
        }
        repeat(3) {
            val answer = get(late) ?: return@repeat
            expectThat(answer.body.decodeToString()).isEqualTo("1")
        }
        expectThat(late.awaitClose(TIMEOUT)).isTrue()
        expectThat(late.written).isLessThan(MAXIMUM_BYTES)
    }

    /** Guards against a late copy of the answer to one order that answers the next one. */
    @Test
    fun `a call on a connection of its own leaves it to no other call`(): Unit = runBlocking {
        val upstream = fixture.rawUpstream { text("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n") }
        val headers = RequestHeaders.of(HttpMethod.POST, "/order")
        repeat(3) {
            get(upstream)
            fixture.calls.wholeOnOwnConnection(upstream.endpoint, headers, ByteArray(1), timeout = 60.seconds)
        }
        expectThat(upstream.connections).isEqualTo(4)
    }

    /** Guards against metrics that do not show which limit was exceeded. */
    @Test
    fun `a response that exceeds a limit is counted by the limited part`(): Unit = runBlocking {
        val metrics = GatewayMetrics()
        UpstreamCalls(UpstreamFixture.Names, metrics).use { calls ->
            val endless = fixture.rawUpstream(EndlessAnswer.INTERIM_HEADS.write)
            calls.get(endless.endpoint, "/report", timeout = 60.seconds)
        }
        // The caller may receive the failure before the counter is incremented.
        withTimeout(TIMEOUT) { while (COUNTED !in metrics.text()) delay(10.milliseconds) }
    }

    private companion object {
        val TIMEOUT = 8.seconds
        const val COUNTED = """{event="answer_too_long",outcome="interim_heads"} 1.0"""

        /** The 1 MB limit of a call, plus the buffers of two loopback sockets. */
        const val MAXIMUM_BYTES = 17L shl 20
    }
}
