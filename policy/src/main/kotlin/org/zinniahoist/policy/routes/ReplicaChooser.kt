package org.zinniahoist.policy.routes

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Chooses the upstream for a single request. Not safe for use by several threads. */
public interface ReplicaChooser {
    /** Takes over the platform's list. */
    public fun relist(entries: List<ListedUpstream>)

    /** Returns an upstream of [service] that is not in [excluded], or null if there is none. */
    public fun choose(service: ServiceName, excluded: Set<UpstreamIdentity>, now: Moment): ListedUpstream?

    /** A request was sent to [upstream]. */
    public fun onSent(upstream: UpstreamIdentity)

    /** A request to [upstream] ended after [latency], [isSound] if with an answer that can be passed on. */
    public fun onEnded(
        upstream: UpstreamIdentity,
        latency: Duration,
        isSound: Boolean,
        now: Moment,
    )

    /** Returns the upstreams of [service] that may be used at all. */
    public fun count(service: ServiceName): Int
}

/**
 * Prefers the least expected time: the recent latency times the own requests in flight and the one to be sent.
 *
 * An upstream that fails is avoided for a time that grows with each failure in a row, as its health may look good all
 * the while; if all are avoided, the one whose pause ends first is used.
 */
public class LatencyChooser : ReplicaChooser {
    private val states = LinkedHashMap<UpstreamIdentity, State>()

    override fun relist(entries: List<ListedUpstream>) {
        states.keys.retainAll(entries.mapTo(HashSet()) { it.identity })
        for (entry in entries) {
            val state = states[entry.identity]
            if (state == null) states[entry.identity] = State(entry) else state.listed = entry
        }
    }

    override fun choose(service: ServiceName, excluded: Set<UpstreamIdentity>, now: Moment): ListedUpstream? {
        val candidates = states.values.filter {
            it.listed.service == service && !it.listed.isLeaving && it.listed.identity !in excluded
        }
        val sound = candidates.filter { state -> state.avoidedUntil?.let { now < it } != true }
        val best = sound.minByOrNull { it.latencyMilliseconds * (it.inFlight + 1) }
            ?: candidates.minByOrNull { it.avoidedUntil ?: now }
        return best?.listed
    }

    override fun onSent(upstream: UpstreamIdentity) {
        states[upstream]?.let { it.inFlight++ }
    }

    override fun onEnded(
        upstream: UpstreamIdentity,
        latency: Duration,
        isSound: Boolean,
        now: Moment,
    ) {
        val state = states[upstream] ?: return
        state.inFlight = (state.inFlight - 1).coerceAtLeast(0)
        state.latencyMilliseconds += LATENCY_GAIN * (latency.inWholeMilliseconds - state.latencyMilliseconds)
        if (isSound) {
            state.failures = 0
            state.avoidedUntil = null
        } else {
            val pause = FIRST_PAUSE * (1 shl state.failures.coerceAtMost(MAXIMUM_DOUBLINGS))
            state.failures++
            state.avoidedUntil = now + minOf(pause, LONGEST_PAUSE)
        }
    }

    override fun count(service: ServiceName): Int =
        states.values.count { it.listed.service == service && !it.listed.isLeaving }

    private class State(var listed: ListedUpstream) {
        var inFlight = 0
        var failures = 0
        var avoidedUntil: Moment? = null
        var latencyMilliseconds = EXPECTED_MILLISECONDS
    }

    private companion object {
        /** Assumed of an upstream that has not answered yet; low, so that a new one is tried soon. */
        const val EXPECTED_MILLISECONDS = 20.0
        const val LATENCY_GAIN = 0.2

        /** A single lost answer says little about its upstream. */
        val FIRST_PAUSE = 300.milliseconds

        /** An upstream that is sound again is found within this time. */
        val LONGEST_PAUSE = 4.seconds
        const val MAXIMUM_DOUBLINGS = 4
    }
}
