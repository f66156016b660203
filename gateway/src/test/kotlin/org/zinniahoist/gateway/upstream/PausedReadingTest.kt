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

/** Tests a response that arrives faster than it is consumed, so that reading from its connection is paused. */
internal class PausedReadingTest {
    private val fixture = UpstreamFixture()
    private val executor = DefaultEventExecutor()

    @AfterEach
    fun close() {
        fixture.close()
        executor.shutdownGracefully()
    }

    /**
     * Guards against a stalled response: if reading is resumed by a thread other than the one that pauses it, the
     * resumption can precede its pause, and the connection is never read again although all chunks are consumed.
     */
    @Test
    fun `reading is resumed by the thread that pauses it`() {
        val endless = fixture.rawUpstream(EndlessAnswer.BODY_WITHOUT_LENGTH.write)
        val (context, response) = open(endless)
        val subscriber = ManualSubscriber()
        response.subscribe(subscriber, executor)
        val channel = channelOf(context)
        expectThat(channel.awaitReadingPaused()).describedAs("reading is paused").isTrue()

        val blocked = BlockedEventLoop(channel)
        subscriber.subscription.join().request(Long.MAX_VALUE)
        val isResumed = blocked.isReadingResumedElsewhere()
        blocked.release()
        expectThat(isResumed).describedAs("reading is resumed by another thread").isFalse()
        expectThat(awaitCondition(TIMEOUT) { subscriber.receivedBytes.get() >= RESUMED_BYTES })
            .describedAs("reading continues")
            .isTrue()
    }

    private fun open(upstream: RawUpstream): Pair<ClientRequestContext, HttpResponse> =
        Clients.newContextCaptor().use { captor ->
            val headers = RequestHeaders.of(HttpMethod.GET, "/")
            val response = fixture.calls.open(
                upstream.endpoint,
                headers,
                RequestBody.of(ByteArray(0)),
                ResponseLimits.STREAM,
            )
            captor.get() to response
        }

    private fun channelOf(context: ClientRequestContext): Channel =
        checkNotNull(context.log().whenAvailable(RequestLogProperty.SESSION).join().channel())

    /** Requests no data until the test does. */
    private class ManualSubscriber : Subscriber<HttpObject> {
        val subscription = CompletableFuture<Subscription>()
        val receivedBytes = AtomicLong()

        override fun onSubscribe(subscription: Subscription) {
            this.subscription.complete(subscription)
        }

        override fun onNext(next: HttpObject) {
            if (next is HttpData) receivedBytes.addAndGet(next.length().toLong())
        }

        override fun onError(cause: Throwable) = Unit

        override fun onComplete() = Unit
    }

    private companion object {
        val TIMEOUT = 8.seconds

        /** Many times the amount of data that may be buffered unread. */
        const val RESUMED_BYTES = 4L shl 20
    }
}
