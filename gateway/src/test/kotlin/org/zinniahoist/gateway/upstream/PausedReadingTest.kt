package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.client.ClientRequestContext
import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.logging.RequestLogProperty
import io.netty.channel.Channel
import io.netty.util.concurrent.DefaultEventExecutor
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import org.zinniahoist.gateway.entry.UpstreamFixture
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An answer that arrives faster than it is taken, so that reading from its connection is paused. */
internal class PausedReadingTest {
    private val fixture = UpstreamFixture()
    private val executor = DefaultEventExecutor()

    @AfterEach
    fun close() {
        fixture.close()
        executor.shutdownGracefully()
    }

    /**
     * Guards against an answer that is never read on although its upstream sends and all pieces have been taken: a
     * resumption by another thread than the one that pauses may come before the pause that it belongs to.
     */
    @Test
    fun `reading is resumed by the thread that pauses it`() {
        val endless = fixture.rawUpstream(EndlessAnswer.BODY_WITHOUT_LENGTH.write)
        val (context, response) = open(endless)
        val taker = Taker()
        response.subscribe(taker, executor)
        val channel = channelOf(context)
        expectThat(holds { !channel.config().isAutoRead }).describedAs("reading is paused").isTrue()

        val blocked = BlockedLoop(channel)
        taker.subscription.join().request(Long.MAX_VALUE)
        val isResumed = holds(BLOCKED_TIME) { channel.config().isAutoRead }
        blocked.release()
        expectThat(isResumed).describedAs("reading is resumed by another thread").isFalse()
        expectThat(holds { taker.taken.get() >= FAR_BYTES }).describedAs("reading goes on").isTrue()
    }

    private fun open(upstream: RawUpstream): Pair<ClientRequestContext, HttpResponse> =
        Clients.newContextCaptor().use { captor ->
            val headers = RequestHeaders.of(HttpMethod.GET, "/")
            val response = fixture.calls.open(upstream.endpoint, headers, ByteArray(0), AnswerLimits.STREAM)
            captor.get() to response
        }

    private fun channelOf(context: ClientRequestContext): Channel =
        checkNotNull(context.log().whenAvailable(RequestLogProperty.SESSION).join().channel())

    /** Returns true once [condition] holds, and false if it doesn't within [bound]. */
    private fun holds(bound: Duration = BOUND, condition: () -> Boolean): Boolean {
        val end = System.nanoTime() + bound.inWholeNanoseconds
        while (System.nanoTime() < end) {
            if (condition()) return true
            Thread.sleep(1)
        }
        return condition()
    }

    /** Takes nothing until the test asks for it. */
    private class Taker : Subscriber<HttpObject> {
        val subscription = CompletableFuture<Subscription>()
        val taken = AtomicLong()

        override fun onSubscribe(subscription: Subscription) {
            this.subscription.complete(subscription)
        }

        override fun onNext(next: HttpObject) {
            if (next is HttpData) taken.addAndGet(next.length().toLong())
        }

        override fun onError(cause: Throwable) = Unit

        override fun onComplete() = Unit
    }

    /** Keeps the thread of a connection busy until it is released. */
    private class BlockedLoop(channel: Channel) {
        private val released = CompletableFuture<Unit>()

        init {
            val begun = CompletableFuture<Unit>()
            channel.eventLoop().execute {
                begun.complete(Unit)
                released.join()
            }
            begun.join()
        }

        fun release() {
            released.complete(Unit)
        }
    }

    private companion object {
        val BOUND = 8.seconds

        /** The pieces that wait are taken within a few milliseconds. */
        val BLOCKED_TIME = 500.milliseconds

        /** Many times what may wait unread. */
        const val FAR_BYTES = 4L shl 20
    }
}
