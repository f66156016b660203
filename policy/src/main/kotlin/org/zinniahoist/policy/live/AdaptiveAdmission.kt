package org.zinniahoist.policy.live

import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName

/**
 * Bounds the requests in flight to each service by an [AdaptiveLimit]. The others wait by priority, then by the
 * workspace with the fewest requests in flight, then by arrival.
 *
 * A request is refused if its wait would exceed half of its remaining target time by the measured rate, at its arrival
 * or once it has waited for that long.
 */
public class AdaptiveAdmission : LiveAdmission {
    private val queues = HashMap<ServiceName, LiveRequestQueue>()

    override fun onArrival(request: LiveRequest, capacity: ServiceCapacity, now: Moment): AdmissionDecision {
        // Without an upstream the caller refuses the request itself, and no answer would ever free a place.
        if (capacity.upstreams == 0) return AdmissionDecision.Admitted
        return queues.getOrPut(request.service) { LiveRequestQueue(capacity) }.onArrival(request, capacity, now)
    }

    override fun onWaitEnded(request: LiveRequest, now: Moment): AdmissionDecision =
        queues[request.service]?.onWaitEnded(request, now) ?: AdmissionDecision.Admitted

    override fun onAttempt(request: LiveRequest) {
        queues[request.service]?.onAttempt(request)
    }

    override fun onAttemptEnded(
        request: LiveRequest,
        outcome: AttemptOutcome,
        start: Moment,
        now: Moment,
    ): List<LiveRequest> = queues[request.service]?.onAttemptEnded(request, outcome, start, now).orEmpty()

    override fun onLeft(request: LiveRequest, now: Moment): List<LiveRequest> =
        queues[request.service]?.onLeft(request, now).orEmpty()

    override fun figures(): Map<ServiceName, AdmissionFigures> = queues.mapValues { (_, queue) -> queue.figures() }
}

/**
 * Limit of the requests in flight to one service. It starts at the slots of all upstreams, halves when an upstream
 * refuses or exceeds the target, and rises by one for each answer within the target.
 */
internal class AdaptiveLimit(private var capacity: ServiceCapacity) {
    private var halvedAt: Moment? = null

    var value: Int = capacity.slots.coerceIn(least(), most())
        private set

    /** Uses the present [capacity]. Slots that are new count at once, because their upstreams are idle. */
    fun resize(capacity: ServiceCapacity) {
        val added = (capacity.slots - this.capacity.slots).coerceAtLeast(0)
        this.capacity = capacity
        value = (value + added).coerceIn(least(), most())
    }

    fun onAnswerInTarget() {
        value = (value + 1).coerceIn(least(), most())
    }

    /**
     * Halves the limit because of an attempt that began at [start]. Attempts that began before the last halving say
     * nothing about the limit in force, and one congestion would otherwise halve it once for each request in flight.
     */
    fun onOverload(start: Moment, now: Moment) {
        if (halvedAt?.let { start < it } == true) return
        halvedAt = now
        value = (value / 2).coerceIn(least(), most())
    }

    private fun least() = capacity.upstreams.coerceAtLeast(1)

    /** One request on its way for each slot keeps the slots busy; more would only wait at the upstreams. */
    private fun most() = maxOf(least(), capacity.slots * MAXIMUM_REQUESTS_PER_SLOT)

    private companion object {
        const val MAXIMUM_REQUESTS_PER_SLOT = 2
    }
}
