package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.HttpData
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.util.concurrent.CompletableFuture

/** Collects a body and counts its pieces in [share] as they come. */
internal class BodyCollector(private val share: AnswerMemory.Share?) : Subscriber<HttpData> {
    private val parts = ArrayList<HttpData>()
    private var held = 0L
    private var isDropped = false
    private lateinit var subscription: Subscription

    /** All pieces, or the failure of the body, or [AnswerMemoryException] if there is no room for a piece. */
    val result = CompletableFuture<List<HttpData>>()

    /** Frees what was collected, which is not used. The caller closes the connection. */
    @Synchronized
    fun drop() {
        isDropped = true
        parts.clear()
        share?.remove(held)
        held = 0
    }

    override fun onSubscribe(subscription: Subscription) {
        this.subscription = subscription
        subscription.request(Long.MAX_VALUE)
    }

    @Synchronized
    override fun onNext(next: HttpData) {
        if (isDropped) return
        try {
            share?.add(next.length())
            held += next.length()
            parts += next
        } catch (full: AnswerMemoryException) {
            drop()
            subscription.cancel()
            result.completeExceptionally(full)
        }
    }

    override fun onError(cause: Throwable) {
        result.completeExceptionally(cause)
    }

    override fun onComplete() {
        result.complete(parts)
    }
}
