package org.zinniahoist.policy.routes

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.live.ServiceCapacity
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Selects the upstream for each request. Not thread-safe. */
public interface LoadBalancer {
    /** Replaces the known upstreams by the current list of the platform. */
    public fun relist(entries: List<ListedUpstream>)

    /** Selects an upstream of [service] that is not in [excluded], or returns null if there is none. */
    public fun choose(service: ServiceName, excluded: Set<UpstreamIdentity>, now: Moment): ListedUpstream?

    /** Records that [upstream] is leaving. It gets no more requests, except from [choose] when no other is known. */
    public fun onLeaving(upstream: UpstreamIdentity)

    /** Records that a request was sent to [upstream]. */
    public fun onSent(upstream: UpstreamIdentity)

    /** Records that a request to [upstream] ended after [latency], and whether its response can be forwarded. */
    public fun onEnded(
        upstream: UpstreamIdentity,
        latency: Duration,
        succeeded: Boolean,
        now: Moment,
    )

    /** Returns the number of upstreams of [service] that are not leaving. */
    public fun count(service: ServiceName): Int

    /** Returns the number of upstreams of [service] that are not leaving, and their slots. */
    public fun capacity(service: ServiceName): ServiceCapacity
}

/**
 * Selects the upstream with the least expected latency: its smoothed latency times the number of own requests in
 * flight, including the one to be sent.
 *
 * A failing upstream is excluded for a time that doubles with each consecutive failure, because its health checks may
 * pass in the meantime. If all upstreams are excluded, the one whose exclusion ends first is selected. If all are
 * leaving, those that may still serve are selected.
 *
 * @param mayStillServe returns whether an upstream that is leaving may get a request when no other can serve it.
 */
public class LeastLatencyBalancer(
    private val mayStillServe: (UpstreamIdentity, Moment) -> Boolean = { _, _ -> false },
) : LoadBalancer {
    private val states = LinkedHashMap<UpstreamIdentity, UpstreamState>()

    override fun relist(entries: List<ListedUpstream>) {
        states.keys.retainAll(entries.mapTo(HashSet()) { it.identity })
        for (entry in entries) {
            val state = states[entry.identity]
            if (state == null) states[entry.identity] = UpstreamState(entry) else state.listed = entry
        }
    }

    override fun choose(service: ServiceName, excluded: Set<UpstreamIdentity>, now: Moment): ListedUpstream? {
        val untried = states.values.filter { it.listed.service == service && it.listed.identity !in excluded }
        val candidates = untried.filter { !it.listed.isLeaving }
            .ifEmpty { untried.filter { mayStillServe(it.listed.identity, now) } }
        val eligible = candidates.filter { state -> state.excludedUntil?.let { now < it } != true }
        val best = eligible.minByOrNull { it.latencyMilliseconds * (it.inFlight + 1) }
            ?: candidates.minByOrNull { it.excludedUntil ?: now }
        return best?.listed
    }

    override fun onLeaving(upstream: UpstreamIdentity) {
        states[upstream]?.let { it.listed = it.listed.copy(isLeaving = true) }
    }

    override fun onSent(upstream: UpstreamIdentity) {
        states[upstream]?.let { it.inFlight++ }
    }

    override fun onEnded(
        upstream: UpstreamIdentity,
        latency: Duration,
        succeeded: Boolean,
        now: Moment,
    ) {
        val state = states[upstream] ?: return
        state.inFlight = (state.inFlight - 1).coerceAtLeast(0)
        state.latencyMilliseconds +=
            LATENCY_SMOOTHING_FACTOR * (latency.inWholeMilliseconds - state.latencyMilliseconds)
        if (succeeded) {
            state.failures = 0
            state.excludedUntil = null
        } else {
            val exclusion = INITIAL_EXCLUSION * (1 shl state.failures.coerceAtMost(MAXIMUM_DOUBLINGS))
            state.failures++
            state.excludedUntil = now + minOf(exclusion, MAXIMUM_EXCLUSION)
        }
    }

    override fun count(service: ServiceName): Int =
        states.values.count { it.listed.service == service && !it.listed.isLeaving }

    override fun capacity(service: ServiceName): ServiceCapacity {
        val serving = states.values.filter { it.listed.service == service && !it.listed.isLeaving }
        return ServiceCapacity(serving.size, serving.sumOf { it.listed.slots })
    }

    private class UpstreamState(var listed: ListedUpstream) {
        var inFlight = 0
        var failures = 0
        var excludedUntil: Moment? = null
        var latencyMilliseconds = INITIAL_LATENCY_MILLISECONDS
    }

    private companion object {
        /** Initial latency estimate of a new upstream. It is low, so that a new upstream soon gets requests. */
        const val INITIAL_LATENCY_MILLISECONDS = 20.0
        const val LATENCY_SMOOTHING_FACTOR = 0.2

        /** Exclusion after the first failure. It is short, because one lost response is weak evidence. */
        val INITIAL_EXCLUSION = 300.milliseconds

        /** Upper bound of the exclusion, within which a recovered upstream gets requests again. */
        val MAXIMUM_EXCLUSION = 4.seconds
        const val MAXIMUM_DOUBLINGS = 4
    }
}
