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
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/** Runs of items on upstreams whose answers never end. */
internal class ItemRunTest {
    private val fixture = UpstreamFixture()

    @AfterEach
    fun close() = fixture.close()

    private fun run(
        upstream: RawUpstream,
        observer: RunObserver,
        limits: AnswerLimits = AnswerLimits.item(TOKENS),
    ): ItemRun {
        val headers = RequestHeaders.of(HttpMethod.POST, "/s/", UpstreamFixture.Names.requestIdentifier, "r1")
        val response = fixture.calls.open(upstream.endpoint, headers, ByteArray(1), limits, "r1")
        return ItemRun(UpstreamFixture.Names, "r1", observer, limits, response).also { it.start() }
    }

    private fun end(upstream: RawUpstream, observer: NotingObserver): RunEnd {
        run(upstream, observer)
        return runBlocking { withTimeout(BOUND) { observer.ended.await() } }
    }

    private fun expectClosed(upstream: RawUpstream) {
        expectThat(upstream.awaitClose(BOUND)).describedAs { "closed after ${upstream.written} bytes: $this" }.isTrue()
        expectThat(upstream.written).isLessThan(MOST_BYTES)
    }

    /** Guards against a leader whose memory fills with a run without end, and an item that counts as failed by it. */
    @ParameterizedTest
    @EnumSource
    fun `a run without end is broken, its connection closed and its item owed`(kind: EndlessAnswer) {
        val endless = fixture.rawUpstream(kind.write)
        val observer = NotingObserver()
        expectThat(end(endless, observer)).isA<RunEnd.Broken>()
        expectThat(observer.events.get()).isLessThanOrEqualTo(AnswerLimits.item(TOKENS).events)
        expectClosed(endless)
    }

    /** Guards against a leader whose thread wakes up once for each event of a piece, and once more for the piece. */
    @Test
    fun `events that arrive together are handed over together`() {
        val upstream = fixture.rawUpstream {
            text("${EndlessAnswer.head()}\r\n" + (1..TOKENS).joinToString("") { "id: $it\ndata: t\n\n" })
            close()
        }
        val observer = NotingObserver()
        end(upstream, observer)
        expectThat(observer.events.get()).isEqualTo(TOKENS.toLong())
        expectThat(observer.pieces.get()).isLessThan(TOKENS / 2L)
    }

    /** Guards against a result with text that is none of the item's. */
    @Test
    fun `events without end are not the item's text`() {
        val endless = fixture.rawUpstream(EndlessAnswer.EVENTS.write)
        val end = end(endless, NotingObserver()) as RunEnd.Broken
        expectThat(end.isTextSound).isFalse()
    }

    /** Guards against a connection that is held for good, and against an item that fails by an answer that is none. */
    @ParameterizedTest
    @EnumSource
    fun `a refusal whose body has no end is broken and its connection closed`(status: Refusal) {
        val endless = fixture.rawUpstream {
            text("${EndlessAnswer.head(status.line)}\r\n")
            withoutEnd { "a" }
        }
        expectThat(end(endless, NotingObserver())).isA<RunEnd.Broken>()
        expectClosed(endless)
    }

    /** Guards against refusals that are no longer understood. */
    @Test
    fun `a whole refusal says what became of the item`() {
        val upstream = fixture.rawUpstream { text("${EndlessAnswer.head("500 Failed")}content-length: 1\r\n\r\na") }
        expectThat(end(upstream, NotingObserver())).isEqualTo(RunEnd.Failed)
    }

    /** Guards against an item that fails, or is given up for good, by the late answer to another one. */
    @ParameterizedTest
    @EnumSource(names = ["IMPOSSIBLE", "FAILED"])
    fun `the failure of another item leaves an item owed`(status: Refusal) {
        val upstream = fixture.rawUpstream {
            text("HTTP/1.1 ${status.line}\r\nx-request: r2\r\ncontent-length: 0\r\n\r\n")
        }
        expectThat(end(upstream, NotingObserver())).isA<RunEnd.Broken>()
        expectThat(upstream.awaitClose(BOUND)).isTrue()
    }

    /** Guards against events that pile up in front of a thread that does something else. */
    @Test
    fun `a run does not go ahead of an observer that is busy`() {
        val many = fixture.rawUpstream(EndlessAnswer.EVENTS.write)
        val observer = NotingObserver(isBusy = true)
        run(many, observer, AnswerLimits.STREAM)
        expectThat(many.awaitClose(2.seconds)).isFalse()
        expectThat(many.written).isLessThan(MOST_BYTES)
        expectThat(observer.events.get()).isLessThan(MOST_EVENTS_AHEAD)
    }

    enum class Refusal(val line: String) {
        NOT_RUN("421 Misdirected"),
        IMPOSSIBLE("422 Impossible"),
        FAILED("500 Failed"),
        UNKNOWN("404 Not Found"),
    }

    private companion object {
        const val TOKENS = 271
        val BOUND = 8.seconds

        /** Events of a few bytes in eight pieces of 64 kilobytes. */
        const val MOST_EVENTS_AHEAD = 8L * 64 * 1_024 / 15

        /** A megabyte of an item and what the buffers of two sockets of the loopback may hold. */
        const val MOST_BYTES = 17L shl 20
    }
}
