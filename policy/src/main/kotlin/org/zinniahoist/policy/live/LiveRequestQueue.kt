package org.zinniahoist.policy.live

import org.zinniahoist.model.Moment
import org.zinniahoist.model.WorkspaceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Requests in flight and waiting requests of one service. */
internal class LiveRequestQueue(capacity: ServiceCapacity) {
    private val limit = AdaptiveLimit(capacity)
    private val admitted = LinkedHashMap<LiveRequest, Places>()
    private val waiting = LinkedHashSet<LiveRequest>()
    private val inFlightByWorkspace = HashMap<WorkspaceName?, Int>()
    private var inFlight = 0

    /** Smoothed time for which a request holds its places, or null before the first one has ended. */
    private var holdTime: Duration? = null

    /** Moment until which the expected places are promised to refused requests, which may return. */
    private var promisedUntil: Moment? = null

    fun onArrival(request: LiveRequest, capacity: ServiceCapacity, now: Moment): AdmissionDecision {
        limit.resize(capacity)
        if (waiting.isEmpty() && inFlight < limit.value) {
            admit(request, now)
            return AdmissionDecision.Admitted
        }
        val longest = (request.targetEnd - now) * WAIT_SHARE_OF_REMAINING
        val wait = expectedWait(request, now)
        if (wait > longest) return refuse(request, wait, now)
        waiting += request
        return AdmissionDecision.Waiting(now + longest)
    }

    fun onWaitEnded(request: LiveRequest, now: Moment): AdmissionDecision {
        if (request in admitted) return AdmissionDecision.Admitted
        waiting -= request
        return refuse(request, expectedWait(request, now), now)
    }

    fun onAttempt(request: LiveRequest) {
        val places = admitted[request] ?: return
        places.attempts++
        places.running++
        if (places.running > 1) count(request, 1)
    }

    fun onAttemptEnded(
        request: LiveRequest,
        outcome: AttemptOutcome,
        start: Moment,
        now: Moment,
    ): List<LiveRequest> {
        val isLate = now - start > request.target
        when {
            isLate || outcome == AttemptOutcome.REFUSED -> limit.onOverload(start, now)
            outcome == AttemptOutcome.ANSWERED -> limit.onAnswerInTarget()
        }
        admitted[request]?.let { places ->
            if (places.running > 1) count(request, -1)
            places.running--
        }
        return admitWaiting(now)
    }

    fun onLeft(request: LiveRequest, now: Moment): List<LiveRequest> {
        waiting -= request
        admitted.remove(request)?.let { places ->
            count(request, -maxOf(1, places.running))
            if (places.attempts > 0) onPlaceFree(now - places.since)
        }
        return admitWaiting(now)
    }

    fun figures() = AdmissionFigures(limit.value, inFlight, waiting.size)

    private fun onPlaceFree(held: Duration) {
        val previous = holdTime ?: held
        holdTime = previous + (held - previous) * HOLD_TIME_SMOOTHING_FACTOR
    }

    private fun admitWaiting(now: Moment): List<LiveRequest> {
        val started = ArrayList<LiveRequest>()
        while (inFlight < limit.value) {
            // The first of equal requests is the one that arrived first.
            val next = waiting.minWithOrNull(compareBy({ it.priority }, ::inFlightOf)) ?: break
            waiting -= next
            admit(next, now)
            started += next
        }
        return started
    }

    private fun admit(request: LiveRequest, now: Moment) {
        admitted[request] = Places(now)
        count(request, 1)
    }

    private fun count(request: LiveRequest, change: Int) {
        inFlight += change
        val left = inFlightOf(request) + change
        if (left > 0) inFlightByWorkspace[request.workspace] = left else inFlightByWorkspace -= request.workspace
    }

    private fun inFlightOf(request: LiveRequest): Int = inFlightByWorkspace[request.workspace] ?: 0

    private fun expectedWait(request: LiveRequest, now: Moment): Duration {
        val excess = (inFlight - limit.value).coerceAtLeast(0)
        return timeForPlace(request, now) * (requestsBefore(request) + 1 + excess)
    }

    /**
     * Returns the mean time between two places that become free. The requests in flight count with their age, so that
     * the estimate also grows while no upstream answers.
     */
    private fun timeForPlace(request: LiveRequest, now: Moment): Duration {
        val assumed = holdTime ?: (request.target * INITIAL_SHARE_OF_TARGET)
        val ages = admitted.values.fold(Duration.ZERO) { sum, places -> sum + (now - places.since) }
        return maxOf(assumed, ages / maxOf(1, admitted.size)) / limit.value
    }

    /** Returns how many waiting requests are expected to be admitted before [request]. */
    private fun requestsBefore(request: LiveRequest): Int {
        val equals = waiting.filter { it.priority == request.priority }.groupingBy { it.workspace }.eachCount()
        val ofSame = equals[request.workspace] ?: 0
        val level = inFlightOf(request) + ofSame + 1
        // Another workspace goes first until it has as many requests in flight as this one will have then.
        val ofOthers = equals.entries.sumOf { (workspace, count) ->
            if (workspace == request.workspace) 0 else count.coerceAtMost(before(workspace, level))
        }
        return waiting.count { it.priority < request.priority } + ofSame + ofOthers
    }

    private fun before(workspace: WorkspaceName?, level: Int): Int =
        (level - (inFlightByWorkspace[workspace] ?: 0)).coerceAtLeast(0)

    /** Refuses [request]. Each refused request is given a later place, so that not all return at one moment. */
    private fun refuse(request: LiveRequest, wait: Duration, now: Moment): AdmissionDecision.Refused {
        val place = maxOf(now + wait, promisedUntil ?: now)
        promisedUntil = minOf(place + timeForPlace(request, now), now + LONGEST_PROMISE)
        return AdmissionDecision.Refused(place - now)
    }

    private class Places(val since: Moment) {
        var attempts = 0
        var running = 0
    }

    private companion object {
        /** Share of the remaining target time that a request may wait; the rest is for the upstream. */
        const val WAIT_SHARE_OF_REMAINING = 0.5
        const val HOLD_TIME_SMOOTHING_FACTOR = 0.1

        /** Before an answer is known, one fifth: the work of both deployments takes 0.13 and 0.19 of their targets. */
        const val INITIAL_SHARE_OF_TARGET = 0.2

        /** Callers do not return later than their deadline, which is 1.5 s at most. */
        val LONGEST_PROMISE = 1.5.seconds
    }
}
