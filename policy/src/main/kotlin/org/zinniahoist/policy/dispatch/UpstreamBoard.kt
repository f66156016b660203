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

/** What is known of one upstream from its answers. */
public class UpstreamCard internal constructor(listed: ListedUpstream) {
    /** The latest entry of the platform's list. */
    public var listed: ListedUpstream = listed
        internal set

    /** Runs that this process has on the upstream. */
    public var inFlight: Int = 0
        private set
    private val inFlightByModel = HashMap<ModelName, Int>()

    /** True while an order to the upstream is in progress, during which it starts nothing. */
    public var isLoading: Boolean = false

    internal var eventMilliseconds: Double = UNKNOWN_PACE

    /** Time of one event in milliseconds, or null before the first measurement. */
    internal val knownPace: Double? get() = eventMilliseconds.takeIf { it != UNKNOWN_PACE }
    internal var failures = 0
    internal var suspendedUntil: Moment? = null
    internal var failedAt: Moment? = null

    /** The upstream said that it had no place; a sign of life from a run that is on it says nothing else. */
    internal var fullUntil: Moment? = null

    /** A suspended upstream may be probed from this moment on, if no other can be used. */
    internal var probeFrom: Moment? = null

    /** Readings of the list in a row that lacked the upstream. */
    internal var missedReadings = 0
    private val versions = HashMap(listed.versions)

    /** Models of which the upstream has weights. */
    public val models: Set<ModelName> get() = versions.keys

    /** Returns the weights of [model] that the upstream is believed to have, or null. */
    public fun version(model: ModelName): WeightVersion? = versions[model]

    /** Returns the runs of [model] that this process has on the upstream. */
    public fun inFlight(model: ModelName): Int = inFlightByModel[model] ?: 0

    /** A run began, of [model] if it is a draft. */
    internal fun begin(model: ModelName?) {
        inFlight++
        if (model != null) inFlightByModel.merge(model, 1, Int::plus)
    }

    /** A run ended, of [model] if it is a draft. */
    internal fun end(model: ModelName?) {
        inFlight = (inFlight - 1).coerceAtLeast(0)
        if (model != null) inFlightByModel.computeIfPresent(model) { _, runs -> (runs - 1).takeIf { it > 0 } }
    }

    /** All runs ended. */
    internal fun endAll() {
        inFlight = 0
        inFlightByModel.clear()
    }

    /** Notes [version] as the upstream itself stated it. */
    public fun observeVersion(model: ModelName, version: WeightVersion) {
        versions[model] = version
    }

    /** The list lags, so it is believed only where it shows newer weights. */
    internal fun relist(entry: ListedUpstream) {
        listed = entry
        for ((model, version) in entry.versions) {
            val present = versions[model]
            if (present == null || version > present) versions[model] = version
        }
    }

    internal companion object {
        const val UNKNOWN_PACE = -1.0
    }
}

/** The upstreams that may get work, with their pace and their recent failures. */
public class UpstreamBoard(
    private val firstSuspension: Duration = FIRST_SUSPENSION,
    private val longestSuspension: Duration = LONGEST_SUSPENSION,
) {
    private val cards = LinkedHashMap<UpstreamIdentity, UpstreamCard>()

    /** Upstreams that the latest readings of the list lack, though runs may go on there. */
    private val absent = LinkedHashMap<UpstreamIdentity, UpstreamCard>()

    /** Upstreams examined so far in passes over the whole list, with repetitions: a measure of what decisions cost. */
    public var examinations: Long = 0
        private set

    /** All upstreams of the latest list. */
    public val all: Collection<UpstreamCard> get() = cards.values

    /** Returns the upstream with [identity], or null if the list no longer shows it. */
    public fun card(identity: UpstreamIdentity): UpstreamCard? = cards[identity]

    /** Takes over the platform's list. An upstream that some readings lack comes back with what is known of it. */
    public fun relist(entries: List<ListedUpstream>) {
        val present = entries.mapTo(HashSet()) { it.identity }
        absent += cards.filterKeys { it !in present }
        cards.keys.retainAll(present)
        for (entry in entries) {
            val card = cards[entry.identity] ?: absent.remove(entry.identity)
            card?.missedReadings = 0
            card?.relist(entry)
            cards[entry.identity] = card ?: UpstreamCard(entry)
        }
        absent.values.forEach { it.missedReadings++ }
        absent.values.removeIf { it.inFlight == 0 && it.missedReadings > REMEMBERED_READINGS }
    }

    /** Counts one run of [model] less on the upstream with [identity], listed or not. */
    internal fun release(identity: UpstreamIdentity, model: ModelName?) {
        val card = cards[identity] ?: absent[identity] ?: return
        card.end(model)
    }

    /** All runs were ended. */
    internal fun releaseAll() {
        (cards.values + absent.values).forEach(UpstreamCard::endAll)
    }

    /** Returns the upstreams of [service] that may get new work at [now]. */
    public fun usable(service: ServiceName, now: Moment): List<UpstreamCard> = examined().filter {
        it.listed.service == service && !it.listed.isLeaving && !isSuspended(it, now) && !isFull(it, now)
    }

    /**
     * Returns the upstreams of [service] among which a run may be placed at [now], of those that [canRun] it: those
     * that are not suspended, or else those that may be probed.
     */
    public fun candidates(service: ServiceName, now: Moment, canRun: (UpstreamCard) -> Boolean): List<UpstreamCard> =
        ready(service, now, canRun).ifEmpty { probes(service, now, canRun) }

    /** Returns the upstreams of [service] that [canRun] a run at [now] and are not suspended. */
    public fun ready(service: ServiceName, now: Moment, canRun: (UpstreamCard) -> Boolean): List<UpstreamCard> =
        usable(service, now).filter(canRun)

    /**
     * Returns the suspended upstreams of [service] on which one run may find out at [now] whether they are back, of
     * those that [canRun] it; none while another upstream can run it.
     */
    public fun probes(service: ServiceName, now: Moment, canRun: (UpstreamCard) -> Boolean): List<UpstreamCard> {
        if (ready(service, now, canRun).isNotEmpty()) return emptyList()
        return probeable(service, now).filter(canRun)
    }

    /** Returns the upstreams of [service] that may get one run at [now] although they are suspended. */
    internal fun probeable(service: ServiceName, now: Moment): List<UpstreamCard> = examined().filter {
        it.listed.service == service && !it.listed.isLeaving && !isFull(it, now) && mayProbe(it, now)
    }

    /** Returns true if a suspended upstream may be probed at [now]. */
    public fun hasProbes(now: Moment): Boolean = examined().any { isSuspended(it, now) && mayProbe(it, now) }

    private fun isFull(card: UpstreamCard, now: Moment): Boolean = card.fullUntil?.let { now < it } == true

    private fun mayProbe(card: UpstreamCard, now: Moment): Boolean =
        card.inFlight == 0 && card.probeFrom?.let { now >= it } != false

    /** Returns true while [card] is avoided because of its failures. */
    public fun isSuspended(card: UpstreamCard, now: Moment): Boolean = card.suspendedUntil?.let { now < it } == true

    /** Notes a failed run; the upstream is avoided for a time that doubles with each failure in a row. */
    public fun onFailure(identity: UpstreamIdentity, now: Moment) {
        val card = cards[identity] ?: return
        val doublings = card.failures.coerceAtMost(MAXIMUM_DOUBLINGS)
        card.failures++
        card.failedAt = now
        val suspension = minOf(firstSuspension * (1 shl doublings), longestSuspension)
        card.suspendedUntil = now + suspension
        card.probeFrom = now + minOf(suspension, LONGEST_PROBE_INTERVAL)
    }

    /** Notes that the upstream had no place at [now]; it is avoided for [pause], as places come free at any time. */
    public fun onRefusal(identity: UpstreamIdentity, now: Moment, pause: Duration) {
        val card = cards[identity] ?: return
        card.fullUntil = now + pause
    }

    /**
     * Notes that the upstream was not at its address at [now], though the list may show it for some time.
     *
     * Runs that were [startedAt] a moment before another found this out count as one failure with it.
     */
    public fun onAbsence(identity: UpstreamIdentity, startedAt: Moment, now: Moment) {
        val isKnown = cards[identity]?.failedAt?.let { startedAt <= it } == true
        if (!isKnown) onFailure(identity, now)
    }

    /** Notes a sign of life. */
    public fun onSuccess(identity: UpstreamIdentity) {
        val card = cards[identity] ?: return
        card.failures = 0
        card.suspendedUntil = null
    }

    /** Notes the time between two events of one stream. */
    public fun onPace(identity: UpstreamIdentity, interval: Duration) {
        val card = cards[identity] ?: return
        val measured = interval.inWholeMicroseconds / MICROSECONDS_PER_MILLISECOND
        val known = card.eventMilliseconds
        card.eventMilliseconds =
            if (known == UpstreamCard.UNKNOWN_PACE) measured else known + PACE_GAIN * (measured - known)
    }

    /** Returns the time that one event takes on [card] in milliseconds; the median of the others if unknown. */
    public fun paceOf(card: UpstreamCard): Double = card.knownPace ?: medianPace()

    /** Returns the median time of one event over all upstreams in milliseconds. */
    public fun medianPace(): Double {
        val known = examined().mapNotNull { it.knownPace }.sorted()
        return if (known.isEmpty()) DEFAULT_PACE_MILLISECONDS else known[known.size / 2]
    }

    /** Returns all listed upstreams and counts them as examined. */
    private fun examined(): Collection<UpstreamCard> = cards.values.also { examinations += it.size }

    private companion object {
        /** A single broken run is mostly the request's own misfortune. */
        val FIRST_SUSPENSION = 200.milliseconds

        /** An upstream that is back is found within this time. */
        val LONGEST_SUSPENSION = 3.seconds

        /** With the longest pause of a suspected item, an item is tried well within the 5 s that are allowed. */
        val LONGEST_PROBE_INTERVAL = 1.seconds
        const val MAXIMUM_DOUBLINGS = 5

        /** Readings of the list; upstreams that are gone for good are forgotten after these. */
        const val REMEMBERED_READINGS = 10
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0

        /** Follows an upstream that slows down within about ten events. */
        const val PACE_GAIN = 0.1

        /** Assumed before the first measurement. */
        const val DEFAULT_PACE_MILLISECONDS = 50.0
    }
}
