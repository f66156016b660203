package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** State of an upstream as observed from its list entry, its responses and its status reports. */
public class TrackedUpstream internal constructor(listed: ListedUpstream) {
    /** Latest entry of the upstream in the platform's list. */
    public var listed: ListedUpstream = listed
        internal set

    /** Number of runs of this process on the upstream. */
    public var inFlight: Int = 0
        private set
    private val inFlightByModel = HashMap<ModelName, Int>()

    /** True while a load order to the upstream is in progress. No runs are started on it during that time. */
    public var isLoading: Boolean = false

    internal var eventIntervalMilliseconds: Double = UNKNOWN_INTERVAL

    /** Event interval in milliseconds, or null before the first measurement. */
    internal val knownEventInterval: Double? get() = eventIntervalMilliseconds.takeIf { it != UNKNOWN_INTERVAL }
    internal val recentInterval = RecentEventInterval()
    internal val load = UpstreamLoad()
    internal var failures = 0
    internal var suspendedUntil: Moment? = null
    internal var failedAt: Moment? = null

    /** End of the back-off after a refusal. Events of runs in progress do not end it, unlike a suspension. */
    internal var fullUntil: Moment? = null

    /** Earliest time at which the suspended upstream may be probed if no other upstream can be used. */
    internal var probeFrom: Moment? = null

    /** Number of consecutive listings that lacked the upstream. */
    internal var missedListings = 0
    private val versions = HashMap(listed.versions)

    /** Models whose weights the upstream holds. */
    public val models: Set<ModelName> get() = versions.keys

    /** Returns the last known weight version of [model] on the upstream, or null if it holds none. */
    public fun version(model: ModelName): WeightVersion? = versions[model]

    /** Returns the number of runs of [model] that this process has on the upstream. */
    public fun inFlight(model: ModelName): Int = inFlightByModel[model] ?: 0

    /** Counts a started run, which uses [model] if that is not null. */
    internal fun begin(model: ModelName?) {
        inFlight++
        if (model != null) inFlightByModel.merge(model, 1, Int::plus)
    }

    /** Removes an ended run from the count, which used [model] if that is not null. */
    internal fun end(model: ModelName?) {
        inFlight = (inFlight - 1).coerceAtLeast(0)
        if (model != null) inFlightByModel.computeIfPresent(model) { _, runs -> (runs - 1).takeIf { it > 0 } }
    }

    /** Resets the run counts after all runs were aborted. */
    internal fun endAll() {
        inFlight = 0
        load.clear()
        inFlightByModel.clear()
    }

    /** Records the [version] of [model] that the upstream itself reported. */
    public fun observeVersion(model: ModelName, version: WeightVersion) {
        versions[model] = version
    }

    /** Updates the list entry. Its versions apply only where they are newer, because the list lags behind reports. */
    internal fun relist(entry: ListedUpstream) {
        listed = entry
        for ((model, version) in entry.versions) {
            val present = versions[model]
            if (present == null || version > present) versions[model] = version
        }
    }

    internal companion object {
        const val UNKNOWN_INTERVAL = -1.0
    }
}

/** Tracks the upstreams of the platform's list with their event intervals, run counts and suspensions. */
public class UpstreamRegistry(
    private val initialSuspension: Duration = INITIAL_SUSPENSION,
    private val maximumSuspension: Duration = MAXIMUM_SUSPENSION,
) {
    private val listedUpstreams = LinkedHashMap<UpstreamIdentity, TrackedUpstream>()

    /** Upstreams that are missing from the latest listings; runs on them may still be in progress. */
    private val unlistedUpstreams = LinkedHashMap<UpstreamIdentity, TrackedUpstream>()

    /** Memory of each upstream in tokens, for the services whose memory is known. */
    public var engineMemory: Map<ServiceName, Long> = emptyMap()

    /** Total number of upstreams examined in passes over the list. It measures the cost of scheduling decisions. */
    public var examinations: Long = 0
        private set

    /** All upstreams of the latest listing. */
    public val all: Collection<TrackedUpstream> get() = listedUpstreams.values

    /** Returns the upstream with [identity], or null if the latest listing lacks it. */
    public fun tracked(identity: UpstreamIdentity): TrackedUpstream? = listedUpstreams[identity]

    /** Applies a new listing. The state of an upstream survives several listings that lack it. */
    public fun relist(entries: List<ListedUpstream>) {
        val present = entries.mapTo(HashSet()) { it.identity }
        unlistedUpstreams += listedUpstreams.filterKeys { it !in present }
        listedUpstreams.keys.retainAll(present)
        for (entry in entries) {
            val tracked = listedUpstreams[entry.identity] ?: unlistedUpstreams.remove(entry.identity)
            tracked?.missedListings = 0
            tracked?.relist(entry)
            listedUpstreams[entry.identity] = tracked ?: TrackedUpstream(entry)
        }
        unlistedUpstreams.values.forEach { it.missedListings++ }
        unlistedUpstreams.values.removeIf { it.inFlight == 0 && it.missedListings > RETAINED_LISTINGS }
    }

    /** Records that the upstream with [identity] is leaving. It gets no more runs. */
    public fun onLeaving(identity: UpstreamIdentity) {
        listedUpstreams[identity]?.let { it.listed = it.listed.copy(isLeaving = true) }
    }

    /** Removes a run of [model] from the count of the upstream with [identity], even if the latest listing lacks it. */
    internal fun release(identity: UpstreamIdentity, model: ModelName?) {
        val tracked = listedUpstreams[identity] ?: unlistedUpstreams[identity] ?: return
        tracked.end(model)
    }

    /** Resets the run counts of all upstreams after all runs were aborted. */
    internal fun releaseAll() {
        (listedUpstreams.values + unlistedUpstreams.values).forEach(TrackedUpstream::endAll)
    }

    /** Returns the upstreams of [service] that are not leaving, suspended or backing off from a refusal at [now]. */
    public fun usable(service: ServiceName, now: Moment): List<TrackedUpstream> = examined().filter {
        it.listed.service == service && !it.listed.isLeaving && !isSuspended(it, now) && !isFull(it, now)
    }

    /**
     * Returns the candidates for a run of [service] at [now] among the upstreams that match [canRun]: those that are
     * not suspended, or, if there are none, those that may be probed.
     */
    public fun candidates(
        service: ServiceName,
        now: Moment,
        canRun: (TrackedUpstream) -> Boolean,
    ): List<TrackedUpstream> = ready(service, now, canRun).ifEmpty { probes(service, now, canRun) }

    /** Returns the [usable] upstreams of [service] at [now] that match [canRun]. */
    public fun ready(service: ServiceName, now: Moment, canRun: (TrackedUpstream) -> Boolean): List<TrackedUpstream> =
        usable(service, now).filter(canRun)

    /**
     * Returns the suspended upstreams of [service] that match [canRun] and may be probed with a single run at [now];
     * none while [ready] returns any.
     */
    public fun probes(service: ServiceName, now: Moment, canRun: (TrackedUpstream) -> Boolean): List<TrackedUpstream> {
        if (ready(service, now, canRun).isNotEmpty()) return emptyList()
        return probeable(service, now).filter(canRun)
    }

    /** Returns the upstreams of [service] that may get a probe run at [now] even if they are suspended. */
    internal fun probeable(service: ServiceName, now: Moment): List<TrackedUpstream> = examined().filter {
        it.listed.service == service && !it.listed.isLeaving && !isFull(it, now) && mayProbe(it, now)
    }

    /** Returns true if any suspended upstream may be probed at [now]. */
    public fun hasProbes(now: Moment): Boolean = examined().any { isSuspended(it, now) && mayProbe(it, now) }

    private fun isFull(tracked: TrackedUpstream, now: Moment): Boolean = tracked.fullUntil?.let { now < it } == true

    private fun mayProbe(tracked: TrackedUpstream, now: Moment): Boolean =
        tracked.inFlight == 0 && tracked.probeFrom?.let { now >= it } != false

    /** Returns true if [tracked] is suspended at [now] because of failed runs. */
    public fun isSuspended(tracked: TrackedUpstream, now: Moment): Boolean =
        tracked.suspendedUntil?.let { now < it } == true

    /** Records a failed run and suspends the upstream; the suspension doubles with each consecutive failure. */
    public fun onFailure(identity: UpstreamIdentity, now: Moment) {
        val tracked = listedUpstreams[identity] ?: return
        val doublings = tracked.failures.coerceAtMost(MAXIMUM_DOUBLINGS)
        tracked.failures++
        tracked.failedAt = now
        val suspension = minOf(initialSuspension * (1 shl doublings), maximumSuspension)
        tracked.suspendedUntil = now + suspension
        tracked.probeFrom = now + minOf(suspension, MAXIMUM_PROBE_INTERVAL)
    }

    /** Records a refusal at [now] for lack of slots. The upstream gets no runs for [pause], as slots soon free up. */
    public fun onRefusal(identity: UpstreamIdentity, now: Moment, pause: Duration) {
        val tracked = listedUpstreams[identity] ?: return
        tracked.fullUntil = now + pause
    }

    /**
     * Records at [now] that another upstream has the address of the upstream with [identity], which the list may still
     * show for some time.
     *
     * A run that was [startedAt] a time no later than the latest failure does not count as another failure.
     */
    public fun onAbsence(identity: UpstreamIdentity, startedAt: Moment, now: Moment) {
        val isKnown = listedUpstreams[identity]?.failedAt?.let { startedAt <= it } == true
        if (!isKnown) onFailure(identity, now)
    }

    /** Ends the suspension of the upstream after it delivered an event. */
    public fun onSuccess(identity: UpstreamIdentity) {
        val tracked = listedUpstreams[identity] ?: return
        tracked.failures = 0
        tracked.suspendedUntil = null
    }

    /** Records the [interval] between two consecutive events of a stream on the upstream, the latter of them [at]. */
    public fun onEventInterval(identity: UpstreamIdentity, interval: Duration, at: Moment? = null) {
        val tracked = listedUpstreams[identity] ?: return
        val measured = interval.inWholeMicroseconds / MICROSECONDS_PER_MILLISECOND
        if (at != null) tracked.recentInterval.record(measured, at)
        val known = tracked.eventIntervalMilliseconds
        tracked.eventIntervalMilliseconds =
            if (known == TrackedUpstream.UNKNOWN_INTERVAL) measured else known + SMOOTHING_FACTOR * (measured - known)
    }

    /** Returns the event interval of [tracked] in milliseconds; the median of all upstreams before it is measured. */
    public fun paceOf(tracked: TrackedUpstream): Double = tracked.knownEventInterval ?: medianEventInterval()

    /** Returns the median tokens a second that one slot of [upstreams] makes, or null if none has been measured. */
    public fun tokensPerSecond(upstreams: Collection<TrackedUpstream>): Double? {
        val known = upstreams.mapNotNull { it.knownEventInterval }.sorted()
        return if (known.isEmpty()) null else MILLISECONDS_PER_SECOND / known[known.size / 2].coerceAtLeast(1.0)
    }

    /** Returns the median event interval of all listed upstreams in milliseconds. */
    public fun medianEventInterval(): Double {
        val known = examined().mapNotNull { it.knownEventInterval }.sorted()
        return if (known.isEmpty()) DEFAULT_EVENT_INTERVAL_MILLISECONDS else known[known.size / 2]
    }

    /** Returns all listed upstreams and counts them as examined. */
    private fun examined(): Collection<TrackedUpstream> = listedUpstreams.values.also { examinations += it.size }

    private companion object {
        /** Short, because a single broken run is usually caused by its request and not by the upstream. */
        val INITIAL_SUSPENSION = 200.milliseconds

        /** Bounds the time for which a recovered upstream stays unused. */
        val MAXIMUM_SUSPENSION = 3.seconds

        /** Together with the maximum back-off of a suspected item, it stays well below the platform's limit of 5 s. */
        val MAXIMUM_PROBE_INTERVAL = 1.seconds
        const val MAXIMUM_DOUBLINGS = 5

        /** Listings that may lack an upstream before its state is evicted. */
        const val RETAINED_LISTINGS = 10
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Weight of a new interval in the moving average; follows a slower upstream within about ten events. */
        const val SMOOTHING_FACTOR = 0.1

        /** Median event interval before the first measurement. */
        const val DEFAULT_EVENT_INTERVAL_MILLISECONDS = 50.0
    }
}
