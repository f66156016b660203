package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.RunEnd

/** Is told of the answer to one run, from the thread of its connection. */
internal interface RunObserver {
    fun onBegin(version: WeightVersion?)

    fun onEvent(event: StreamEvent)

    fun onEnd(end: RunEnd)
}

/** Reads the answer of an upstream to one item as a stream of events. */
internal class ItemRun(
    private val names: HeaderNames,
    private val identifier: String,
    private val observer: RunObserver,
    private val response: HttpResponse,
) : Subscriber<HttpObject> {
    private val parser = EventParser(names.weightVersion.lowercase())
    private var status = 0
    private var isOver = false

    fun start(): Unit = response.subscribe(this)

    /** Closes the connection; the observer is not told any more. */
    fun abort() {
        response.abort()
    }

    override fun onSubscribe(subscription: Subscription): Unit = subscription.request(Long.MAX_VALUE)

    override fun onNext(next: HttpObject) {
        if (isOver) return
        when (next) {
            is ResponseHeaders -> if (!next.status().isInformational) begin(next)
            is HttpData -> read(next.array())
        }
    }

    private fun begin(headers: ResponseHeaders) {
        status = headers.status().code()
        val echoed = headers.get(names.requestIdentifier)
        when {
            status == MISDIRECTED -> end(RunEnd.Misdirected)
            headers.contains(names.notRun) -> end(RunEnd.NotRun)
            status == OK && echoed != identifier -> end(RunEnd.Broken("answer of another request"))
            status == OK -> observer.onBegin(
                headers.get(names.weightVersion)?.trim()?.toLongOrNull()?.let(::WeightVersion),
            )
            status == UNPROCESSABLE -> end(RunEnd.Impossible)
            status == FAILED -> end(RunEnd.Failed)
            else -> end(RunEnd.Broken("status $status"))
        }
        if (isOver && echoed != identifier) response.abort()
    }

    private fun read(bytes: ByteArray) {
        if (status != OK) return
        val events = parser.feed(bytes)
        if (events == null) {
            end(RunEnd.Broken("not an event"))
            response.abort()
            return
        }
        events.forEach(observer::onEvent)
    }

    override fun onError(cause: Throwable): Unit = end(RunEnd.Broken(UpstreamCalls.rootOf(cause).toString()))

    override fun onComplete() {
        end(if (parser.hasRest) RunEnd.Broken("the answer ends inside an event") else RunEnd.Completed)
    }

    private fun end(end: RunEnd) {
        if (isOver) return
        isOver = true
        observer.onEnd(end)
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421
        const val UNPROCESSABLE = 422
        const val FAILED = 500
    }
}
