package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WeightVersion

/** What an item asks of an upstream. Items that ask the same can run on the same upstreams. */
internal data class PlacementNeed(
    val service: ServiceName,
    val model: ModelName?,
    val minimumVersion: WeightVersion?,
) {
    constructor(work: ItemWork) : this(work.service, work.terms?.model, work.terms?.minimumVersion)

    /** Returns true if [card] has a place and the weights, and loads no others. */
    fun isMetBy(card: UpstreamCard): Boolean = card.inFlight < card.listed.slots && !card.isLoading && hasWeights(card)

    /** Returns true if [card] has the weights. */
    fun hasWeights(card: UpstreamCard): Boolean {
        if (model == null || minimumVersion == null) return true
        val version = card.version(model) ?: return false
        return version >= minimumVersion
    }
}

/**
 * The upstreams on which items may be placed at [now], found once for all items that ask the same.
 *
 * It follows runs that begin, and is of no use after any other change of an upstream.
 */
internal class PlacementView(
    private val board: UpstreamBoard,
    val now: Moment,
) {
    private val usable = HashMap<ServiceName, List<UpstreamCard>>()
    private val ready = HashMap<PlacementNeed, MutableList<UpstreamCard>>()
    private val probes = HashMap<PlacementNeed, MutableList<UpstreamCard>>()

    /** The median time of one event over all upstreams in milliseconds. */
    val medianPace: Double by lazy(LazyThreadSafetyMode.NONE) { board.medianPace() }

    /** Returns the time that one event takes on [card] in milliseconds; the median of the others if unknown. */
    fun paceOf(card: UpstreamCard): Double = card.knownPace ?: medianPace

    /** Returns the upstreams that meet [need] and are not suspended. */
    fun ready(need: PlacementNeed): List<UpstreamCard> = ready.getOrPut(need) {
        val ofService = usable.getOrPut(need.service) { board.usable(need.service, now) }
        ofService.filterTo(ArrayList(), need::isMetBy)
    }

    /** Returns the suspended upstreams that meet [need] and may be probed; none while another upstream meets it. */
    fun probes(need: PlacementNeed): List<UpstreamCard> {
        if (ready(need).isNotEmpty()) return emptyList()
        return probes.getOrPut(need) { board.probeable(need.service, now).filterTo(ArrayList(), need::isMetBy) }
    }

    /** A run began on [card]. */
    fun onBegin(card: UpstreamCard) {
        probes.values.forEach { it.remove(card) }
        if (card.inFlight >= card.listed.slots) ready.values.forEach { it.remove(card) }
    }
}
