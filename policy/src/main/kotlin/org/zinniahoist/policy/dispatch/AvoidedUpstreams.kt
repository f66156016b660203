package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import kotlin.time.Duration

/** The upstreams that one item has tried in vain a short while ago. They come after others, and are never left out. */
internal class AvoidedUpstreams(private val span: Duration) {
    private val ends = HashMap<UpstreamIdentity, Moment>()

    /** Avoids [upstream] for the span from [now]. */
    fun add(upstream: UpstreamIdentity, now: Moment) {
        ends.values.removeIf { it <= now }
        ends[upstream] = now + span
    }

    /** Returns true while the upstream of [card] comes after others. */
    fun holds(card: UpstreamCard, now: Moment): Boolean = ends[card.listed.identity]?.let { now < it } == true

    /** Returns the [candidates] that are not avoided at [now]; if all are, the one that was tried longest ago. */
    fun prefer(candidates: List<UpstreamCard>, now: Moment): List<UpstreamCard> {
        val others = candidates.filterNot { holds(it, now) }
        if (others.isNotEmpty()) return others
        return listOfNotNull(candidates.minByOrNull { ends.getValue(it.listed.identity) })
    }
}
