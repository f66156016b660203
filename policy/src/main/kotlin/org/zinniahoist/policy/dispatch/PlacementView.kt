package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WeightVersion

/** Constraints of an item on its upstream. Items with equal constraints can run on the same upstreams. */
internal data class PlacementConstraints(
    val service: ServiceName,
    val model: ModelName?,
    val minimumVersion: WeightVersion?,
) {
    constructor(work: ItemWork) : this(work.service, work.terms?.model, work.terms?.minimumVersion)

    /** Returns true if [tracked] has a free slot, holds the required weights and is not loading weights. */
    fun areMetBy(tracked: TrackedUpstream): Boolean =
        tracked.inFlight < tracked.listed.slots && !tracked.isLoading && hasWeights(tracked)

    /** Returns true if [tracked] holds the required weights. */
    fun hasWeights(tracked: TrackedUpstream): Boolean {
        if (model == null || minimumVersion == null) return true
        val version = tracked.version(model) ?: return false
        return version >= minimumVersion
    }
}

/**
 * Caches the upstreams on which items may be placed at [now], computed once per set of constraints.
 *
 * [onBegin] keeps the cache up to date when runs start. Any other change of an upstream invalidates it.
 */
internal class PlacementView(
    private val registry: UpstreamRegistry,
    val now: Moment,
    private val fit: UpstreamFit = SlotFit,
) {
    private val rooms = HashMap<PlacementConstraints, Long>()

    /** Upstream that is kept free of further runs. At most one is, so that the others still take items. */
    var reserved: TrackedUpstream? = null
        private set
    private val usable = HashMap<ServiceName, List<TrackedUpstream>>()
    private val ready = HashMap<PlacementConstraints, MutableList<TrackedUpstream>>()
    private val probes = HashMap<PlacementConstraints, MutableList<TrackedUpstream>>()

    /** Median event interval of all upstreams in milliseconds. */
    val medianEventInterval: Double by lazy(LazyThreadSafetyMode.NONE) { registry.medianEventInterval() }

    /** Returns the event interval of [tracked] in milliseconds; the median of all upstreams before it is measured. */
    fun eventIntervalOf(tracked: TrackedUpstream): Double = tracked.knownEventInterval ?: medianEventInterval

    /** Returns the upstreams that meet [constraints] and are not suspended. */
    fun ready(constraints: PlacementConstraints): List<TrackedUpstream> = ready.getOrPut(constraints) {
        val ofService = usableOf(constraints.service)
        ofService.filterTo(ArrayList()) { it !== reserved && constraints.areMetBy(it) }
    }

    /** Returns the most tokens that a further run may hold on a [ready] upstream, or zero if there is none. */
    fun largestRoom(constraints: PlacementConstraints): Long = rooms.getOrPut(constraints) {
        ready(constraints).maxOfOrNull { fit.room(it) } ?: 0
    }

    /** Returns the event interval of [tracked] in the last moments in milliseconds; the median if it is unknown. */
    fun recentIntervalOf(tracked: TrackedUpstream): Double = tracked.recentInterval.at(now) ?: medianEventInterval

    /** Keeps [tracked] free of further runs. */
    fun reserve(tracked: TrackedUpstream) {
        reserved = tracked
        rooms.clear()
        removeReady(tracked)
    }

    private fun usableOf(service: ServiceName) = usable.getOrPut(service) { registry.usable(service, now) }

    private fun removeReady(tracked: TrackedUpstream) = ready.values.forEach { it.remove(tracked) }

    /** Returns the suspended upstreams that meet [constraints] and may be probed; none while [ready] returns any. */
    fun probes(constraints: PlacementConstraints): List<TrackedUpstream> {
        if (ready(constraints).isNotEmpty()) return emptyList()
        return probes.getOrPut(constraints) {
            registry.probeable(constraints.service, now).filterTo(ArrayList(), constraints::areMetBy)
        }
    }

    /** Updates the cache for a run that started on [tracked]. */
    fun onBegin(tracked: TrackedUpstream) {
        probes.values.forEach { it.remove(tracked) }
        rooms.clear()
        if (tracked.inFlight >= tracked.listed.slots) removeReady(tracked)
    }
}
