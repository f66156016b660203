package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import kotlin.time.Duration

/**
 * Tracks the upstreams on which runs of one item recently broke, failed or were refused.
 *
 * An avoided upstream is a last choice: it is still chosen if no other candidate exists.
 */
internal class AvoidedUpstreams(private val duration: Duration) {
    private val avoidedUntil = HashMap<UpstreamIdentity, Moment>()

    /** Avoids [upstream] for the configured duration, beginning at [now]. */
    fun add(upstream: UpstreamIdentity, now: Moment) {
        avoidedUntil.values.removeIf { it <= now }
        avoidedUntil[upstream] = now + duration
    }

    /** Returns true if [tracked] is avoided at [now]. */
    fun isAvoided(tracked: TrackedUpstream, now: Moment): Boolean =
        avoidedUntil[tracked.listed.identity]?.let { now < it } == true

    /** Returns the [candidates] that are not avoided at [now]; if all are, the one whose avoidance ends first. */
    fun prefer(candidates: List<TrackedUpstream>, now: Moment): List<TrackedUpstream> {
        val others = candidates.filterNot { isAvoided(it, now) }
        if (others.isNotEmpty()) return others
        return listOfNotNull(candidates.minByOrNull { avoidedUntil.getValue(it.listed.identity) })
    }
}
