package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.zinniahoist.gateway.entry.UpstreamFixture
import org.zinniahoist.policy.dispatch.RunEnd
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Tests responses that an upstream truncates at any byte by closing or resetting its connection. */
internal class TruncatedResponseTest {
    private val fixture = UpstreamFixture()

    @AfterEach
    fun close() = fixture.close()

    enum class Cut(val apply: RawAnswer.() -> Unit) {
        CLOSED({ close() }),
        RESET({ reset() }),
    }

    private fun whole(bytes: String, cut: Cut): WholeAnswer? = runBlocking {
        val upstream = fixture.rawUpstream {
            text(bytes)
            cut.apply(this)
        }
        withTimeout(TIMEOUT) { fixture.calls.get(upstream.endpoint, "/report", timeout = TIMEOUT) }
    }

    /** Returns the lengths of the prefixes of [answer] that are accepted when the connection ends after them. */
    private fun acceptedLengths(answer: String, cut: Cut): List<Int> =
        (1 until answer.length).filter { whole(answer.take(it), cut) != null }

    /** Guards against accepting a response with an empty or short body whose headers or body were truncated. */
    @ParameterizedTest
    @EnumSource
    fun `a response with a content length is accepted only if it is complete`(cut: Cut) {
        expectThat(acceptedLengths("HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-more: y\r\n\r\nwhole", cut)).isEmpty()
    }

    /** Guards against accepting a truncated response with chunked encoding. */
    @ParameterizedTest
    @EnumSource
    fun `a chunked response is accepted only if it is complete`(cut: Cut) {
        val answer = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
        // The zero-length chunk ends the body; the remaining bytes contain none of it.
        expectThat(acceptedLengths(answer, cut).filter { it < answer.length - END_OF_TRAILERS }).isEmpty()
    }

    /** Guards against accepting truncated headers after an informational response. */
    @ParameterizedTest
    @EnumSource
    fun `headers after an informational response are accepted only if they are complete`(cut: Cut) {
        val answer = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        expectThat(acceptedLengths(answer, cut)).isEmpty()
    }

    /** Guards against accepting a body without a length after a connection reset. */
    @Test
    fun `a response without a length is complete after a close, but not after a reset`() {
        val answer = "HTTP/1.1 200 OK\r\n\r\nall of it"
        expectThat(whole(answer, Cut.CLOSED)?.body?.decodeToString()).isEqualTo("all of it")
        repeat(REPETITIONS) { expectThat(whole(answer, Cut.RESET)).isNull() }
    }

    /** Guards against completing an item with the text of a stream that was reset. */
    @Test
    fun `a run without a length that is reset after an event is broken`() {
        val isRead = CountDownLatch(1)
        val upstream = fixture.rawUpstream {
            text("HTTP/1.1 200 OK\r\n${UpstreamFixture.Names.requestIdentifier}: r1\r\n\r\nid: 1\ndata: x\n\n")
            isRead.await(TIMEOUT.inWholeSeconds, TimeUnit.SECONDS)
            reset()
        }
        val observer = object : RecordingObserver() {
            override fun onEvents(events: List<StreamEvent>, whenProcessed: () -> Unit) = isRead.countDown()
        }
        val headers = RequestHeaders.of(HttpMethod.POST, "/s/", UpstreamFixture.Names.requestIdentifier, "r1")
        val limits = ResponseLimits.item(TOKENS)
        val response = fixture.calls.open(upstream.endpoint, headers, RequestBody.of(ByteArray(1)), limits, "r1")
        ItemRun(UpstreamFixture.Names, "r1", observer, limits, response).start()
        expectThat(runBlocking { withTimeout(TIMEOUT) { observer.ended.await() } }).isA<RunEnd.Broken>()
    }

    private companion object {
        val TIMEOUT = 8.seconds
        const val TOKENS = 100
        const val END_OF_TRAILERS = 2
        const val REPETITIONS = 5
    }
}
