package org.zinniahoist.daemon.sidecar

import com.linecorp.armeria.client.ClientRequestContext
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.logging.RequestLogProperty
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.io.IOException
import java.net.InetSocketAddress

/** One call to the upstream. Reads the answer only as fast as [next] asks for it. */
internal class UpstreamExchange(
    private val response: HttpResponse,
    context: ClientRequestContext,
    onConnected: (connection: Long) -> Unit,
) {
    private val objects = Channel<HttpObject>(Channel.UNLIMITED)
    private val subscription = CompletableDeferred<Subscription>()

    /** Number of the connection, which is its local port, once there is one. */
    @Volatile
    var connection: Long? = null
        private set

    init {
        context.log().whenAvailable(RequestLogProperty.SESSION).thenAccept { log ->
            val local = log.channel()?.localAddress() as? InetSocketAddress
            connection = local?.port?.toLong()?.also(onConnected)
        }
        response.subscribe(Receiver())
    }

    /** Returns the final headers of the answer. */
    suspend fun head(): ResponseHeaders {
        while (true) {
            val next = receive() ?: throw IOException("the upstream closed the connection before it answered")
            if (next is ResponseHeaders && !next.status().isInformational) return next
        }
    }

    /** Returns the next bytes of the body, or null at its end. */
    suspend fun next(): ByteArray? {
        while (true) {
            val next = receive() ?: return null
            if (next is HttpData && !next.isEmpty) return next.array()
        }
    }

    /** Closes the connection of the call. */
    fun abort(cause: Throwable) {
        response.abort(cause)
    }

    private suspend fun receive(): HttpObject? {
        subscription.await().request(1)
        val received = objects.receiveCatching()
        received.exceptionOrNull()?.let { throw it }
        return received.getOrNull()
    }

    private inner class Receiver : Subscriber<HttpObject> {
        override fun onSubscribe(subscription: Subscription) {
            this@UpstreamExchange.subscription.complete(subscription)
        }

        override fun onNext(next: HttpObject) {
            objects.trySend(next)
        }

        override fun onError(cause: Throwable) {
            objects.close(cause)
        }

        override fun onComplete() {
            objects.close()
        }
    }
}
