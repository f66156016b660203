package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import org.zinniahoist.gateway.upstream.RequestBody
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration

/** Outcome of reading the body of a client's request. */
internal sealed interface ReadBody {
    class Whole(val body: RequestBody) : ReadBody

    /** The process has no room for the body. */
    data object NoRoom : ReadBody

    /** The client has not sent the whole body in time. */
    data object Late : ReadBody
}

/** Reads the bodies of clients' requests, each within its [BodyBudget.Reservation]. */
internal object RequestBodyReader {
    /**
     * Reads the body of [request] within [limit]. A stated length is reserved before the first byte is read, and each
     * piece of a body without one as it arrives. Stops reading at once where the outcome is not [ReadBody.Whole].
     */
    suspend fun read(request: HttpRequest, reservation: BodyBudget.Reservation, limit: Duration): ReadBody {
        val stated = maxOf(request.headers().contentLength(), 0)
        val read = if (reservation.tryReserve(stated)) collect(request, reservation, limit) else ReadBody.NoRoom
        if (read !is ReadBody.Whole) {
            request.abort()
            reservation.close()
        }
        return read
    }

    private suspend fun collect(request: HttpRequest, reservation: BodyBudget.Reservation, limit: Duration): ReadBody {
        val collector = Collector(reservation)
        request.subscribe(collector)
        return withTimeoutOrNull(limit) { collector.result.await() } ?: ReadBody.Late
    }

    private class Collector(private val reservation: BodyBudget.Reservation) : Subscriber<Any> {
        private val pieces = ArrayList<ByteArray>()
        private var bytes = 0L
        private lateinit var subscription: Subscription
        val result = CompletableFuture<ReadBody>()

        override fun onSubscribe(subscription: Subscription) {
            this.subscription = subscription
            subscription.request(Long.MAX_VALUE)
        }

        override fun onNext(next: Any) {
            if (next !is HttpData || next.isEmpty || result.isDone) return
            bytes += next.length()
            if (reservation.tryReserve(bytes)) {
                pieces += next.array()
                return
            }
            pieces.clear()
            subscription.cancel()
            result.complete(ReadBody.NoRoom)
        }

        override fun onError(cause: Throwable) {
            result.completeExceptionally(cause)
        }

        override fun onComplete() {
            result.complete(ReadBody.Whole(RequestBody(pieces)))
        }
    }
}
