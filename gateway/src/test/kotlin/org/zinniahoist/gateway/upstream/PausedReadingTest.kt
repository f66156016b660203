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
        expectThat(channel.isPausedSoon()).describedAs("reading is paused").isTrue()

        val blocked = BlockedLoop(channel)
        taker.subscription.join().request(Long.MAX_VALUE)
        val isResumed = blocked.isReadingResumed()
        blocked.release()
        expectThat(isResumed).describedAs("reading is resumed by another thread").isFalse()
        expectThat(holdsWithin(BOUND) { taker.taken.get() >= FAR_BYTES }).describedAs("reading goes on").isTrue()
    }

    private fun open(upstream: RawUpstream): Pair<ClientRequestContext, HttpResponse> =
        Clients.newContextCaptor().use { captor ->
            val headers = RequestHeaders.of(HttpMethod.GET, "/")
            val response = fixture.calls.open(upstream.endpoint, headers, ByteArray(0), AnswerLimits.STREAM)
            captor.get() to response
        }

    private fun channelOf(context: ClientRequestContext): Channel =
        checkNotNull(context.log().whenAvailable(RequestLogProperty.SESSION).join().channel())

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

    private companion object {
        val BOUND = 8.seconds

        /** Many times what may wait unread. */
        const val FAR_BYTES = 4L shl 20
    }
}
