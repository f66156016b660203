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

/** Forwarding to upstreams whose answers never end. The deadline is too far away to end them. */
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

    private fun soundUpstream() = fixture.rawUpstream { text("${EndlessAnswer.head()}content-length: 5\r\n\r\nsound") }

    private suspend fun forward(kind: RouteKind): Forwarded =
        withTimeout(BOUND) { forwarder.forward(fixture.request(kind, within = 60.seconds, target = 60.seconds)) }

    private suspend fun stream(): ForwardedStream =
        withTimeout(BOUND) { streams.forward(fixture.request(RouteKind.EVENT_STREAM, within = 60.seconds)) }

    private fun expectClosed(endless: RawUpstream, mostBytes: Long = MOST_SINGLE_BYTES) {
        expectThat(endless.awaitClose(BOUND)).describedAs { "closed after ${endless.written} bytes: $this" }.isTrue()
        expectThat(endless.written).isLessThan(mostBytes)
    }

    /** Guards against an entry whose memory fills with an answer that has no end, and a client that waits for it. */
    @ParameterizedTest
    @EnumSource
    fun `a request is answered by another upstream when an answer has no end`(kind: EndlessAnswer): Unit = runBlocking {
        val endless = fixture.rawUpstream(kind.write)
        soundUpstream()
        val forwarded = forward(RouteKind.REPEATABLE) as Forwarded.Answer
        expectThat(forwarded.answer.body.decodeToString()).isEqualTo("sound")
        expectClosed(endless)
    }

    /** Guards against a second run of a request that must run once at most, when its answer has no end. */
    @ParameterizedTest
    @EnumSource
    fun `a request that may run once is not sent again after an answer without end`(kind: EndlessAnswer): Unit =
        runBlocking {
            val endless = fixture.rawUpstream(kind.write)
            val other = fixture.rawUpstream(kind.write)
            expectThat(forward(RouteKind.AT_MOST_ONCE)).isA<Forwarded.NoAnswer>()
            expectClosed(endless)
            expectThat(other.connections).isEqualTo(0)
        }

    /** Guards against a client that gets bytes without end as a stream, and an upstream that works on for nobody. */
    @ParameterizedTest
    @EnumSource
    fun `a stream without end fails`(kind: EndlessAnswer): Unit = runBlocking {
        val endless = fixture.rawUpstream(kind.write)
        val forwarded = stream()
        if (forwarded is ForwardedStream.Started) {
            val failure = runCatching {
                withTimeout(BOUND) { forwarded.response.aggregate().await() }
            }.exceptionOrNull()
            expectThat(failure).describedAs { "after ${endless.written} bytes: $this" }
                .isNotNull()
                .not()
                .isA<TimeoutCancellationException>()
        } else {
            expectThat(forwarded).isA<ForwardedStream.NoAnswer>()
        }
        expectThat(forwarded is ForwardedStream.Started).isEqualTo(kind.beginsStream)
        expectClosed(endless, mostBytes = MOST_STREAM_BYTES)
    }

    /** Guards against an entry that holds a whole stream in memory for a client that doesn't read. */
    @Test
    fun `a stream does not run ahead of its client`(): Unit = runBlocking {
        val endless = fixture.rawUpstream(EndlessAnswer.EVENTS.write)
        val begun = stream() as ForwardedStream.Started
        begun.response.subscribe(IdleSubscriber())
        expectThat(endless.awaitClose(2.seconds)).isEqualTo(false)
        expectThat(endless.written).isLessThan(WINDOW_BYTES)
    }

    /** Guards against an answer to one request that is taken from the bytes behind the answer to another. */
    @Test
    fun `bytes without end behind an answer belong to no request`(): Unit = runBlocking {
        val late = fixture.rawUpstream {
            val rest = "content-length: 1\r\n\r\n"
            text("${EndlessAnswer.head()}${rest}1")
            withoutEnd { "${EndlessAnswer.head(identifier = "r2")}${rest}2" }
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
        val BOUND = 8.seconds

        /** What the buffers of two sockets of the loopback may hold. */
        const val WINDOW_BYTES = 16L shl 20

        /** Four megabytes for a single answer. */
        const val MOST_SINGLE_BYTES = WINDOW_BYTES + (4L shl 20)

        /** Thirty-two megabytes for a stream. */
        const val MOST_STREAM_BYTES = WINDOW_BYTES + (32L shl 20)
    }
}
