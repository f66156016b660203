package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.cancel
import kotlinx.coroutines.future.await
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import org.zinniahoist.gateway.upstream.EndlessAnswer
import org.zinniahoist.gateway.upstream.RawUpstream
import org.zinniahoist.policy.routes.RouteKind
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/** Tests forwarding to upstreams with endless responses. The deadlines are too long to end them. */
internal class EndlessAnswerTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val fixture = UpstreamFixture()
    private val forwarder = Forwarder(UpstreamFixture.Names, fixture.calls, fixture.upstreams, fixture.clock)
    private val streams = StreamForwarder(UpstreamFixture.Names, fixture.calls, fixture.upstreams, scope, fixture.clock)

    @AfterEach
    fun close() {
        scope.cancel()
        fixture.close()
    }

    private fun workingUpstream() =
        fixture.rawUpstream { text("${EndlessAnswer.head()}content-length: 5\r\n\r\nsound") }

    private suspend fun forward(kind: RouteKind): Forwarded =
        withTimeout(TIMEOUT) { forwarder.forward(fixture.request(kind, within = 60.seconds, target = 60.seconds)) }

    private suspend fun stream(): ForwardedStream =
        withTimeout(TIMEOUT) { streams.forward(fixture.request(RouteKind.EVENT_STREAM, within = 60.seconds)) }

    private fun expectClosed(endless: RawUpstream, maximumBytes: Long = MAXIMUM_UNARY_BYTES) {
        expectThat(endless.awaitClose(TIMEOUT)).describedAs { "closed after ${endless.written} bytes: $this" }.isTrue()
        expectThat(endless.written).isLessThan(maximumBytes)
    }

    /** Guards against an endless response that exhausts the entry's heap or blocks the client. */
    @ParameterizedTest
    @EnumSource
    fun `a repeatable request is retried after an endless response`(kind: EndlessAnswer): Unit = runBlocking {
        val endless = fixture.rawUpstream(kind.write)
        workingUpstream()
        val forwarded = forward(RouteKind.REPEATABLE) as Forwarded.Answer
        expectThat(forwarded.answer.body.decodeToString()).isEqualTo("sound")
        expectClosed(endless)
    }

    /** Guards against retrying a non-repeatable request after an endless response. */
    @ParameterizedTest
    @EnumSource
    fun `a non-repeatable request is not retried after an endless response`(kind: EndlessAnswer): Unit = runBlocking {
        val endless = fixture.rawUpstream(kind.write)
        val other = fixture.rawUpstream(kind.write)
        expectThat(forward(RouteKind.AT_MOST_ONCE)).isA<Forwarded.NoAnswer>()
        expectClosed(endless)
        expectThat(other.connections).isEqualTo(0)
    }

    /** Guards against relaying endless bytes as a stream, and an upstream that keeps running for a failed stream. */
    @ParameterizedTest
    @EnumSource
    fun `an endless stream fails`(kind: EndlessAnswer): Unit = runBlocking {
        val endless = fixture.rawUpstream(kind.write)
        val forwarded = stream()
        if (forwarded is ForwardedStream.Started) {
            val failure = runCatching {
                withTimeout(TIMEOUT) { forwarded.response.aggregate().await() }
            }.exceptionOrNull()
            expectThat(failure).describedAs { "after ${endless.written} bytes: $this" }
                .isNotNull()
                .not()
                .isA<TimeoutCancellationException>()
        } else {
            expectThat(forwarded).isA<ForwardedStream.NoAnswer>()
        }
        expectThat(forwarded is ForwardedStream.Started).isEqualTo(kind.beginsStream)
        expectClosed(endless, maximumBytes = MAXIMUM_STREAM_BYTES)
    }

    /** Guards against an entry that buffers a whole stream for a client that does not read. */
    @Test
    fun `a stream is subject to the back pressure of its client`(): Unit = runBlocking {
        val endless = fixture.rawUpstream(EndlessAnswer.EVENTS.write)
        val begun = stream() as ForwardedStream.Started
        begun.response.subscribe(IdleSubscriber())
        expectThat(endless.awaitClose(2.seconds)).isEqualTo(false)
        expectThat(endless.written).isLessThan(WINDOW_BYTES)
    }

    /** Guards against using the bytes after the response to one request as the response to the next one. */
    @Test
    fun `endless bytes after a response belong to no request`(): Unit = runBlocking {
        val late = fixture.rawUpstream {
            val rest = "content-length: 1\r\n\r\n"
            text("${EndlessAnswer.head()}${rest}1")
            writeEndlessly { "${EndlessAnswer.head(identifier = "r2")}${rest}2" }
        }
        repeat(3) {
            val forwarded = forward(RouteKind.AT_MOST_ONCE)
            if (forwarded is Forwarded.Answer) expectThat(forwarded.answer.body.decodeToString()).isEqualTo("1")
        }
        expectClosed(late)
    }

    private class IdleSubscriber : Subscriber<HttpObject> {
        override fun onSubscribe(subscription: Subscription) = subscription.request(1)

        override fun onNext(next: HttpObject) = Unit

        override fun onError(cause: Throwable) = Unit

        override fun onComplete() = Unit
    }

    private companion object {
        val TIMEOUT = 8.seconds

        /** Upper bound for the bytes in the buffers of two loopback sockets. */
        const val WINDOW_BYTES = 16L shl 20

        /** The 4 MB limit of a unary response, plus the socket buffers. */
        const val MAXIMUM_UNARY_BYTES = WINDOW_BYTES + (4L shl 20)

        /** The 32 MB limit of a stream, plus the socket buffers. */
        const val MAXIMUM_STREAM_BYTES = WINDOW_BYTES + (32L shl 20)
    }
}
