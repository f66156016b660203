package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.HttpData
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.util.concurrent.CompletableFuture

/** Buffers a body and reserves memory for its chunks in [reservation] as they arrive. */
internal class BodyCollector(private val reservation: ResponseMemory.Reservation?) : Subscriber<HttpData> {
    private val chunks = ArrayList<HttpData>()
    private var heldBytes = 0L
    private var isDiscarded = false
    private lateinit var subscription: Subscription

    /** Completes with all chunks, or fails with the body's error or with [AnswerMemoryException]. */
    val result = CompletableFuture<List<HttpData>>()

    /** Discards the buffered chunks and releases their memory. The caller must close the connection. */
    @Synchronized
    fun discard() {
        isDiscarded = true
        chunks.clear()
        reservation?.release(heldBytes)
        heldBytes = 0
    }

    override fun onSubscribe(subscription: Subscription) {
        this.subscription = subscription
        subscription.request(Long.MAX_VALUE)
    }

    @Synchronized
    override fun onNext(next: HttpData) {
        if (isDiscarded) return
        try {
            reservation?.reserve(next.length())
            heldBytes += next.length()
            chunks += next
        } catch (exhausted: AnswerMemoryException) {
            discard()
            subscription.cancel()
            result.completeExceptionally(exhausted)
        }
    }

    override fun onError(cause: Throwable) {
        result.completeExceptionally(cause)
    }

    override fun onComplete() {
        result.complete(chunks)
    }
}
