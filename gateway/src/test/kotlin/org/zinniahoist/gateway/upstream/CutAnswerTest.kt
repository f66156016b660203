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

/** Answers that an upstream cuts at any byte, by closing its connection or by resetting it. */
internal class CutAnswerTest {
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
        withTimeout(BOUND) { fixture.calls.get(upstream.endpoint, "/report", timeout = BOUND) }
    }

    /** Returns the lengths of prefixes of [answer] that pass as an answer when the connection ends after them. */
    private fun passing(answer: String, cut: Cut): List<Int> =
        (1 until answer.length).filter { whole(answer.take(it), cut) != null }

    /** Guards against an answer that has a status and an empty or short body because its head or body was cut. */
    @ParameterizedTest
    @EnumSource
    fun `an answer of a stated length passes only as a whole`(cut: Cut) {
        expectThat(passing("HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-more: y\r\n\r\nwhole", cut)).isEmpty()
    }

    /** Guards against the same where the body comes in chunks. */
    @ParameterizedTest
    @EnumSource
    fun `an answer in chunks passes only as a whole`(cut: Cut) {
        val answer = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
        // The chunk of length zero ends the body; what follows holds no part of it.
        expectThat(passing(answer, cut).filter { it < answer.length - END_OF_TRAILERS }).isEmpty()
    }

    /** Guards against the same after an interim head. */
    @ParameterizedTest
    @EnumSource
    fun `a head after an interim head passes only as a whole`(cut: Cut) {
        val answer = "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
        expectThat(passing(answer, cut)).isEmpty()
    }

    /** Guards against a body without a length that was reset on its way and passes as the whole one. */
    @Test
    fun `an answer without a length is complete if its connection was closed, and not if it was reset`() {
        val answer = "HTTP/1.1 200 OK\r\n\r\nall of it"
        expectThat(whole(answer, Cut.CLOSED)?.body?.decodeToString()).isEqualTo("all of it")
        repeat(REPETITIONS) { expectThat(whole(answer, Cut.RESET)).isNull() }
    }

    /** Guards against an item that is listed as completed with the text of a stream that was reset on its way. */
    @Test
    fun `a run without a length that is reset after an event is broken`() {
        val isRead = CountDownLatch(1)
        val upstream = fixture.rawUpstream {
            text("HTTP/1.1 200 OK\r\n${UpstreamFixture.Names.requestIdentifier}: r1\r\n\r\nid: 1\ndata: x\n\n")
            isRead.await(BOUND.inWholeSeconds, TimeUnit.SECONDS)
            reset()
        }
        val observer = object : NotingObserver() {
            override fun onEvents(events: List<StreamEvent>, whenTaken: () -> Unit) = isRead.countDown()
        }
        val headers = RequestHeaders.of(HttpMethod.POST, "/s/", UpstreamFixture.Names.requestIdentifier, "r1")
        val limits = AnswerLimits.item(TOKENS)
        val response = fixture.calls.open(upstream.endpoint, headers, ByteArray(1), limits, "r1")
        ItemRun(UpstreamFixture.Names, "r1", observer, limits, response).start()
        expectThat(runBlocking { withTimeout(BOUND) { observer.ended.await() } }).isA<RunEnd.Broken>()
    }

    private companion object {
        val BOUND = 8.seconds
        const val TOKENS = 100
        const val END_OF_TRAILERS = 2
        const val REPETITIONS = 5
    }
}
