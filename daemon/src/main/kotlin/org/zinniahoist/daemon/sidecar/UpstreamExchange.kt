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

/** Is told on which connections the sidecar waits for bytes. A connection's number is its local port. */
internal interface ConnectionWatch {
    fun onActivity(connection: Long)

    fun onIdle(connection: Long)
}

/** One call to the upstream. Reads the answer only as fast as [next] asks for it. */
internal class UpstreamExchange(
    private val response: HttpResponse,
    context: ClientRequestContext,
    private val watch: ConnectionWatch,
) {
    private val objects = Channel<HttpObject>(Channel.UNLIMITED)
    private var hasEnded = false
    private val subscription = CompletableDeferred<Subscription>()

    /** Number of the connection, which is its local port, once there is one. */
    @Volatile
    var connection: Long? = null
        private set

    init {
        context.log().whenAvailable(RequestLogProperty.SESSION).thenAccept { log ->
            (log.channel()?.localAddress() as? InetSocketAddress)?.let { onConnected(it.port.toLong()) }
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

    /** Records that the call waits for bytes. */
    fun onActive() {
        connection?.let(watch::onActivity)
    }

    /** Records that the call does not wait for bytes at present. */
    fun onIdle() {
        connection?.let(watch::onIdle)
    }

    /** Records that the call waits for nothing any more. */
    @Synchronized
    fun end() {
        hasEnded = true
        onIdle()
    }

    @Synchronized
    private fun onConnected(port: Long) {
        connection = port
        if (!hasEnded) watch.onActivity(port)
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
