package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.gateway.entry.UpstreamFixture
import org.zinniahoist.policy.dispatch.RunEnd
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/** Tests runs of items on upstreams with endless or mismatched responses. */
internal class ItemRunTest {
    private val fixture = UpstreamFixture()

    @AfterEach
    fun close() = fixture.close()

    private fun run(
        upstream: RawUpstream,
        observer: RunObserver,
        limits: ResponseLimits = ResponseLimits.item(TOKENS),
    ): ItemRun {
        val headers = RequestHeaders.of(HttpMethod.POST, "/s/", UpstreamFixture.Names.requestIdentifier, "r1")
        val response = fixture.calls.open(upstream.endpoint, headers, RequestBody.of(ByteArray(1)), limits, "r1")
        return ItemRun(UpstreamFixture.Names, "r1", observer, limits, response).also { it.start() }
    }

    private fun end(upstream: RawUpstream, observer: RecordingObserver): RunEnd {
        run(upstream, observer)
        return runBlocking { withTimeout(TIMEOUT) { observer.ended.await() } }
    }

    private fun expectClosed(upstream: RawUpstream) {
        expectThat(upstream.awaitClose(TIMEOUT))
            .describedAs { "closed after ${upstream.written} bytes: $this" }
            .isTrue()
        expectThat(upstream.written).isLessThan(MAXIMUM_BYTES)
    }

    /** Guards against an endless run that exhausts the leader's heap or fails its item. */
    @ParameterizedTest
    @EnumSource
    fun `an endless run is broken, its connection is closed and its item stays pending`(kind: EndlessAnswer) {
        val endless = fixture.rawUpstream(kind.write)
        val observer = RecordingObserver()
        expectThat(end(endless, observer)).isA<RunEnd.Broken>()
        expectThat(observer.events.get()).isLessThanOrEqualTo(ResponseLimits.item(TOKENS).events)
        expectClosed(endless)
    }

    /** Guards against waking the leader's thread for each event of a chunk instead of once for each chunk. */
    @Test
    fun `events that arrive together are delivered together`() {
        val upstream = fixture.rawUpstream {
            text("${EndlessAnswer.head()}\r\n" + (1..TOKENS).joinToString("") { "id: $it\ndata: t\n\n" })
            close()
        }
        val observer = RecordingObserver()
        end(upstream, observer)
        expectThat(observer.events.get()).isEqualTo(TOKENS.toLong())
        expectThat(observer.batches.get()).isLessThan(TOKENS / 2L)
    }

    /** Guards against a result with text that does not belong to the item. */
    @Test
    fun `text of endless events is discarded`() {
        val endless = fixture.rawUpstream(EndlessAnswer.EVENTS.write)
        val end = end(endless, RecordingObserver()) as RunEnd.Broken
        expectThat(end.isTextSound).isFalse()
    }

    /** Guards against leaking a connection, and against failing an item because of an invalid response. */
    @ParameterizedTest
    @EnumSource
    fun `a refusal with an endless body is broken and its connection is closed`(status: Refusal) {
        val endless = fixture.rawUpstream {
            text("${EndlessAnswer.head(status.line)}\r\n")
            writeEndlessly { "a" }
        }
        expectThat(end(endless, RecordingObserver())).isA<RunEnd.Broken>()
        expectClosed(endless)
    }

    /** Guards against misinterpreting valid refusals. */
    @Test
    fun `a complete refusal determines the result of the item`() {
        val upstream = fixture.rawUpstream { text("${EndlessAnswer.head("500 Failed")}content-length: 1\r\n\r\na") }
        expectThat(end(upstream, RecordingObserver())).isEqualTo(RunEnd.Failed)
    }

    /** Guards against one failed run that counts as two, of which an item has few, and against a run given up. */
    @ParameterizedTest
    @ValueSource(strings = ["500 Failed", "421 Misdirected", "429 Full", "503 Full\r\nx-not-run: 1"])
    fun `a late copy of a failure or refusal does not end the next run of the item`(first: String) {
        val fields = "x-request: r1\r\ncontent-length: 0\r\n\r\n"
        val upstream =
            fixture.add(repeatingUpstream("HTTP/1.1 $first\r\n$fields", "HTTP/1.1 200 OK\r\n$fields"))
        expectThat(end(upstream, RecordingObserver())).isNotEqualTo(RunEnd.Completed)
        expectThat(end(upstream, RecordingObserver())).isEqualTo(RunEnd.Completed)
    }

    /** Guards against failing an item because of a late response to another one. */
    @ParameterizedTest
    @EnumSource(names = ["IMPOSSIBLE", "FAILED"])
    fun `the failure of another item leaves an item pending`(status: Refusal) {
        val upstream = fixture.rawUpstream {
            text("HTTP/1.1 ${status.line}\r\nx-request: r2\r\ncontent-length: 0\r\n\r\n")
        }
        expectThat(end(upstream, RecordingObserver())).isA<RunEnd.Broken>()
        expectThat(upstream.awaitClose(TIMEOUT)).isTrue()
    }

    /** Guards against an unbounded queue of events for a busy thread. */
    @Test
    fun `a run is subject to the back pressure of a busy observer`() {
        val many = fixture.rawUpstream(EndlessAnswer.EVENTS.write)
        val observer = RecordingObserver(isBusy = true)
        run(many, observer, ResponseLimits.STREAM)
        expectThat(many.awaitClose(2.seconds)).isFalse()
        expectThat(many.written).isLessThan(MAXIMUM_BYTES)
        expectThat(observer.events.get()).isLessThan(MAXIMUM_QUEUED_EVENTS)
    }

    enum class Refusal(val line: String) {
        NOT_RUN("421 Misdirected"),
        IMPOSSIBLE("422 Impossible"),
        FAILED("500 Failed"),
        UNKNOWN("404 Not Found"),
    }

    private companion object {
        const val TOKENS = 271
        val TIMEOUT = 8.seconds

        /** Number of 15-byte events in eight chunks of 64 kB. */
        const val MAXIMUM_QUEUED_EVENTS = 8L * 64 * 1_024 / 15

        /** The 1 MB limit of an item, plus the buffers of two loopback sockets. */
        const val MAXIMUM_BYTES = 17L shl 20
    }
}
