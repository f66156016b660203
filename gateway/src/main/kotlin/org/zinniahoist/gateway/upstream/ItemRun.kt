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

/** Is told of the answer to one run, from the thread of its connection. */
internal interface RunObserver {
    /** The whole request was written. */
    fun onSent()

    fun onBegin(version: WeightVersion?)

    /** [events] arrived together. Calls [whenTaken] once these and everything before have been dealt with. */
    fun onEvents(events: List<StreamEvent>, whenTaken: () -> Unit)

    fun onEnd(end: RunEnd)

    /** Calls [action] once everything of which this observer was told before has been dealt with. */
    fun whenTaken(action: () -> Unit)
}

/**
 * Reads the answer of an upstream to one item as a stream of events. Only so much is read that the observer has a few
 * pieces to deal with.
 */
internal class ItemRun(
    private val names: HeaderNames,
    private val identifier: String,
    private val observer: RunObserver,
    private val limits: AnswerLimits,
    private val response: HttpResponse,
) : Subscriber<HttpObject> {
    private val parser = EventParser(names.weightVersion.lowercase(), limits.eventBytes)
    private lateinit var subscription: Subscription
    private var events = 0L

    /** Set where the head says that there will be no events. */
    private var refusal: RunEnd? = null
    private var isOver = false

    fun start(): Unit = response.subscribe(this)

    /** Closes the connection; the observer is not told any more. */
    fun abort() {
        response.abort()
    }

    override fun onSubscribe(subscription: Subscription) {
        this.subscription = subscription
        subscription.request(PIECES_AHEAD)
    }

    override fun onNext(next: HttpObject) {
        if (isOver) return
        if (next is ResponseHeaders && !next.status().isInformational) begin(next)
        val events = if (next is HttpData) read(next.array()) else emptyList()
        if (events.isEmpty()) observer.whenTaken(::requestNext) else observer.onEvents(events, ::requestNext)
    }

    private fun requestNext(): Unit = subscription.request(1)

    private fun begin(headers: ResponseHeaders) {
        val status = headers.status().code()
        val echoed = headers.get(names.requestIdentifier)
        when {
            status == MISDIRECTED -> refuse(RunEnd.Misdirected, echoed)
            headers.contains(names.notRun) -> refuse(RunEnd.NotRun, echoed)
            status == OK && echoed != identifier -> breakOff(RunEnd.Broken("answer of another request"))
            status == OK -> observer.onBegin(
                headers.get(names.weightVersion)?.trim()?.toLongOrNull()?.let(::WeightVersion),
            )
            status == UNPROCESSABLE -> refuse(RunEnd.Impossible, echoed)
            status == FAILED -> refuse(RunEnd.Failed, echoed)
            else -> refuse(RunEnd.Broken("status $status"), echoed)
        }
    }

    /** A refusal counts once its body has ended: bytes without end are no answer, whatever their head says. */
    private fun refuse(end: RunEnd, echoed: String?) {
        when {
            echoed == identifier -> refusal = end
            end is RunEnd.NotRun || end is RunEnd.Misdirected -> breakOff(end)
            else -> breakOff(RunEnd.Broken("answer of another request"))
        }
    }

    /** Returns the events that [bytes] completes; none after the run was broken off. */
    private fun read(bytes: ByteArray): List<StreamEvent> {
        if (refusal != null) return emptyList()
        try {
            val complete = parser.feed(bytes)
            if (complete == null) breakOff(RunEnd.Broken("not an event"))
            events += complete?.size ?: 0
            if (events > limits.events) throw AnswerTooLongException(AnswerPart.EVENTS, limits.events)
            return complete.orEmpty()
        } catch (exceeded: AnswerTooLongException) {
            breakOff(RunEnd.Broken(exceeded.toString(), isTextSound = false), exceeded)
            return emptyList()
        }
    }

    override fun onError(cause: Throwable) {
        val root = UpstreamCalls.rootOf(cause)
        end(RunEnd.Broken(root.toString(), isTextSound = AnswerLimits.exceededBy(root) == null))
    }

    override fun onComplete() {
        end(refusal ?: if (parser.hasRest) RunEnd.Broken("the answer ends inside an event") else RunEnd.Completed)
    }

    /** Ends the run and closes its connection. */
    private fun breakOff(end: RunEnd, cause: Throwable = AbortedStreamException.get()) {
        end(end)
        response.abort(cause)
    }

    private fun end(end: RunEnd) {
        if (isOver) return
        isOver = true
        observer.onEnd(end)
    }

    private companion object {
        /** Pieces of a few kilobytes that may wait for the observer. */
        const val PIECES_AHEAD = 8L
        const val OK = 200
        const val MISDIRECTED = 421
        const val UNPROCESSABLE = 422
        const val FAILED = 500
    }
}
