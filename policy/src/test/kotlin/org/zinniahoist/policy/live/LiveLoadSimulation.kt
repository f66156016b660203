package org.zinniahoist.policy.live

import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.routes.RetryAfterPolicy
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests of one kind that arrive at random between [from] and [until], [rate] a second. */
internal class LiveLoad(
    val rate: Double,
    val from: Duration,
    val until: Duration,
    val priority: Int = 0,
    val workspace: String? = null,
)

/** A simulated client request, from its first arrival. */
internal class SimulatedRequest(
    val load: LiveLoad,
    val first: Moment,
) {
    var latency: Duration? = null
    var hasWaited = false
    val refusedAt = ArrayList<Moment>()
    val returnedAt = ArrayList<Moment>()
}

/**
 * Simulates, in virtual time, entries with one [LiveAdmission] each before upstreams with [SLOTS] slots, which queue
 * up to [QUEUE] further requests and refuse others. Clients with a deadline of 1.5 s return after their retry delay.
 * [slowdown] returns the factor by which an upstream is slow at a time.
 */
internal class LiveLoadSimulation(
    seed: Long,
    private val entries: List<LiveAdmission>,
    upstreamCount: Int = 4,
    private val slowdown: (Int, Duration) -> Double = { _, _ -> 1.0 },
) {
    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event>({ it.at }, { it.number }))
    private val upstreams = List(upstreamCount) { SimulatedService(it) }
    private val capacity = ServiceCapacity(upstreamCount, upstreamCount * SLOTS)
    private var count = 0L
    private var now = Moment.ZERO

    private class Event(
        val at: Moment,
        val number: Long,
        val action: () -> Unit,
    )

    private inner class SimulatedService(val index: Int) {
        var running = 0
        val queue = ArrayDeque<Pair<Visit, Moment>>()
    }

    fun run(vararg loads: LiveLoad): List<SimulatedRequest> {
        val requests = loads.flatMap { load -> arrivals(load).map { SimulatedRequest(load, it) } }
        for (request in requests) at(request.first) { arrive(request) }
        while (true) {
            val event = events.poll() ?: break
            now = event.at
            event.action()
        }
        return requests
    }

    private fun at(moment: Moment, action: () -> Unit) {
        events += Event(moment, count++, action)
    }

    private fun arrivals(load: LiveLoad): List<Moment> {
        val moments = ArrayList<Moment>()
        var time = load.from
        while (true) {
            time += (-ln(1 - random.nextDouble()) / load.rate).seconds
            if (time >= load.until) return moments
            moments += Moment.ZERO + time
        }
    }

    private inner class Visit(
        val client: SimulatedRequest,
        val admission: LiveAdmission,
    ) {
        val request = LiveRequest(
            SERVICE,
            client.load.priority,
            client.load.workspace?.let(::WorkspaceName),
            TARGET,
            now + minOf(TARGET, client.first + DEADLINE - now),
        )
        var isSent = false
    }

    private val visits = HashMap<LiveRequest, Visit>()

    private fun arrive(client: SimulatedRequest) {
        val visit = Visit(client, entries.random(random))
        visits[visit.request] = visit
        follow(visit, visit.admission.onArrival(visit.request, capacity, now))
    }

    private fun follow(visit: Visit, decision: AdmissionDecision) {
        when (decision) {
            is AdmissionDecision.Admitted -> send(visit)

            is AdmissionDecision.Refused -> refuse(visit, decision.expectedWait)

            is AdmissionDecision.Waiting -> {
                visit.client.hasWaited = true
                at(decision.until) {
                    if (!visit.isSent) follow(visit, visit.admission.onWaitEnded(visit.request, now))
                }
            }
        }
    }

    private fun send(visit: Visit) {
        if (visit.isSent) return
        visit.isSent = true
        visit.admission.onAttempt(visit.request)
        val start = now
        val upstream = upstreams.minBy { it.running + it.queue.size }
        when {
            upstream.running < SLOTS -> begin(visit, upstream, start)
            upstream.queue.size < QUEUE -> upstream.queue += visit to start
            else -> {
                leave(visit, AttemptOutcome.REFUSED, start)
                refuse(visit, 400.milliseconds)
            }
        }
    }

    private fun begin(visit: Visit, upstream: SimulatedService, start: Moment) {
        upstream.running++
        val time = WORK * (0.5 + random.nextDouble()) * slowdown(upstream.index, now - Moment.ZERO)
        at(now + time) {
            upstream.running--
            visit.client.latency = now - visit.client.first
            leave(visit, AttemptOutcome.ANSWERED, start)
            startNext(upstream)
        }
    }

    /** Starts the next queued request; those whose deadline has passed have been cancelled meanwhile. */
    private fun startNext(upstream: SimulatedService) {
        while (true) {
            val (visit, start) = upstream.queue.removeFirstOrNull() ?: return
            if (now < visit.client.first + DEADLINE) return begin(visit, upstream, start)
            leave(visit, AttemptOutcome.OTHER, start)
        }
    }

    private fun leave(visit: Visit, outcome: AttemptOutcome, start: Moment) {
        val ended = visit.admission.onAttemptEnded(visit.request, outcome, start, now)
        val left = visit.admission.onLeft(visit.request, now)
        visits -= visit.request
        (ended + left).forEach { send(visits.getValue(it)) }
    }

    private fun refuse(visit: Visit, expectedWait: Duration) {
        val client = visit.client
        client.refusedAt += now
        val remaining = client.first + DEADLINE - now
        val pause = RetryAfterPolicy.afterWait(expectedWait, remaining, random)
        if (pause > remaining / 3) return
        client.returnedAt += now + pause
        at(now + pause) { arrive(client) }
    }

    companion object {
        const val SLOTS = 6
        const val QUEUE = 60

        /** Figures of the first deployment of docs/design/hard-load.md. */
        val WORK = 35.7.milliseconds
        val TARGET = 186.milliseconds
        val DEADLINE = 1.5.seconds
        private val SERVICE = ServiceName("cases")

        /** Requests that four upstreams serve in a second. */
        const val CAPACITY_PER_SECOND = 4 * SLOTS / 0.0357
    }
}
