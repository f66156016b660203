package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.stream.AbortedStreamException
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.RunEnd

/** Receives the events of one run. Called on the event loop of its connection. */
internal interface RunObserver {
    /** Called once the whole request has been written. */
    fun onSent()

    fun onBegin(version: WeightVersion?)

    /**
     * Receives [events] of one chunk. Must call [whenProcessed] once these and all earlier notifications are processed.
     */
    fun onEvents(events: List<StreamEvent>, whenProcessed: () -> Unit)

    fun onEnd(end: RunEnd)

    /** Calls [action] once all earlier notifications are processed. */
    fun whenProcessed(action: () -> Unit)
}

/**
 * Reads the response of an upstream to one item as a stream of events. Applies back pressure: at most
 * [PREFETCHED_CHUNKS] chunks wait for the observer.
 */
internal class ItemRun(
    private val names: HeaderNames,
    private val identifier: String,
    private val observer: RunObserver,
    private val limits: ResponseLimits,
    private val response: HttpResponse,
) : Subscriber<HttpObject> {
    private val parser = EventParser(names.weightVersion.lowercase(), limits.eventBytes)
    private lateinit var subscription: Subscription
    private var events = 0L

    /** Result of the run if the response headers announce that no events follow, otherwise null. */
    private var refusal: RunEnd? = null
    private var isEnded = false

    fun start(): Unit = response.subscribe(this)

    /** Closes the connection. The observer receives no further events. */
    fun abort() {
        response.abort()
    }

    override fun onSubscribe(subscription: Subscription) {
        this.subscription = subscription
        subscription.request(PREFETCHED_CHUNKS)
    }

    override fun onNext(next: HttpObject) {
        if (isEnded) return
        if (next is ResponseHeaders && !next.status().isInformational) begin(next)
        val events = if (next is HttpData) read(next.array()) else emptyList()
        if (events.isEmpty()) observer.whenProcessed(::requestNext) else observer.onEvents(events, ::requestNext)
    }

    private fun requestNext(): Unit = subscription.request(1)

    private fun begin(headers: ResponseHeaders) {
        val status = headers.status().code()
        val echoed = headers.get(names.requestIdentifier)
        val statement = names.runStatement(headers)
        when {
            statement == RunStatement.MISDIRECTED -> refuse(RunEnd.Misdirected, echoed)
            statement == RunStatement.NOT_RUN -> refuse(RunEnd.NotRun, echoed)
            status == OK && echoed != identifier -> abortRun(RunEnd.Broken("response to another request"))
            status == OK -> observer.onBegin(
                headers.get(names.weightVersion)?.trim()?.toLongOrNull()?.let(::WeightVersion),
            )
            status == UNPROCESSABLE_CONTENT -> refuse(RunEnd.Impossible, echoed)
            status == INTERNAL_SERVER_ERROR -> refuse(RunEnd.Failed, echoed)
            else -> refuse(RunEnd.Broken("status $status"), echoed)
        }
    }

    /** Records a refusal, which takes effect at the end of its body: an endless body is invalid for any status. */
    private fun refuse(end: RunEnd, echoed: String?) {
        when {
            echoed == identifier -> refusal = end
            end is RunEnd.NotRun || end is RunEnd.Misdirected -> abortRun(end)
            else -> abortRun(RunEnd.Broken("response to another request"))
        }
    }

    /** Returns the events that [bytes] completes, or none after a refusal or an abort. */
    private fun read(bytes: ByteArray): List<StreamEvent> {
        if (refusal != null) return emptyList()
        try {
            val complete = parser.feed(bytes)
            if (complete == null) abortRun(RunEnd.Broken("malformed event"))
            events += complete?.size ?: 0
            if (events > limits.events) throw AnswerTooLongException(AnswerPart.EVENTS, limits.events)
            return complete.orEmpty()
        } catch (exceeded: AnswerTooLongException) {
            abortRun(RunEnd.Broken(exceeded.toString(), isTextSound = false), exceeded)
            return emptyList()
        }
    }

    override fun onError(cause: Throwable) {
        val root = UpstreamCalls.rootOf(cause)
        end(RunEnd.Broken(root.toString(), isTextSound = ResponseLimits.limitViolation(root) == null))
    }

    override fun onComplete() {
        end(refusal ?: if (parser.hasPartialEvent) RunEnd.Broken("response ends inside an event") else RunEnd.Completed)
    }

    /** Ends the run with [end] and closes its connection. */
    private fun abortRun(end: RunEnd, cause: Throwable = AbortedStreamException.get()) {
        end(end)
        response.abort(cause)
    }

    private fun end(end: RunEnd) {
        if (isEnded) return
        isEnded = true
        observer.onEnd(end)
    }

    private companion object {
        /** Number of chunks, each a few kilobytes long, that may wait for the observer. */
        const val PREFETCHED_CHUNKS = 8L
        const val OK = 200
        const val UNPROCESSABLE_CONTENT = 422
        const val INTERNAL_SERVER_ERROR = 500
    }
}
