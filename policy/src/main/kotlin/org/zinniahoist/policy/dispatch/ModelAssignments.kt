package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion

/**
 * Divides the upstreams among the models that they hold, in proportion to the work of each.
 *
 * New weights of a model are loaded only on its own upstreams. Loading every version of every model everywhere would
 * keep the upstreams loading most of the time when several trainers share them.
 */
internal class ModelHomes(private val board: UpstreamBoard) {
    private val homes = HashMap<UpstreamIdentity, ModelName>()
    private var shares: Map<ModelName, Double> = emptyMap()

    /** Returns true if new weights of [model] belong on [card]. */
    fun isHome(card: UpstreamCard, model: ModelName): Boolean = homes[card.listed.identity] == model

    /** Upstreams that have a model. */
    val total: Int get() = homes.size

    /** Returns the number of upstreams that the demand of [model] called for at the latest assignment. */
    fun share(model: ModelName): Double = shares[model] ?: 0.0

    /** Returns the number of upstreams of [model]. */
    fun count(model: ModelName): Int = homes.values.count { it == model }

    /**
     * Gives each upstream a model, and moves one upstream at most to a model that has too few.
     *
     * All models that the upstreams hold count, so that the first one that is named does not get all upstreams.
     *
     * @param newest the newest named weights.
     * @param tokens expected tokens of the work of a model.
     */
    fun assign(newest: Map<ModelName, WeightVersion>, tokens: (ModelName) -> Long) {
        val holders = board.all.filter { !it.listed.isLeaving && it.models.isNotEmpty() }
        val models = holders.flatMapTo(LinkedHashSet()) { it.models }
        if (models.isEmpty()) return
        val present = holders.mapTo(HashSet()) { it.listed.identity }
        homes.entries.removeIf { it.key !in present || it.value !in models }
        shares = shares(models.associateWith { tokens(it) + LEAST_DEMAND }, holders.size)
        for (card in holders) {
            if (card.listed.identity !in homes) chooseHome(card, newest)
        }
        rebalance(holders)
    }

    private fun shares(demand: Map<ModelName, Double>, upstreams: Int): Map<ModelName, Double> {
        val total = demand.values.sum()
        return demand.mapValues { (_, tokens) -> upstreams * tokens / total }
    }

    /** A model that lacks upstreams goes first; among these the one whose weights on the upstream are newest. */
    private fun chooseHome(card: UpstreamCard, newest: Map<ModelName, WeightVersion>) {
        val home = card.models.minWithOrNull(
            compareBy<ModelName>(
                { count(it) >= shares.getValue(it) },
                { versionsBehind(card, it, newest[it]) },
                { count(it) / shares.getValue(it) },
            ),
        )
        if (home != null) homes[card.listed.identity] = home
    }

    private fun rebalance(holders: List<UpstreamCard>) {
        val excess = shares.keys.associateWith { count(it) - shares.getValue(it) }
        val giver = excess.maxBy { it.value }
        val taker = excess.minBy { it.value }
        if (giver.value < REBALANCE_EXCESS || taker.value > -REBALANCE_EXCESS) return
        val moved = holders
            .filter { isHome(it, giver.key) && !it.isLoading && it.version(taker.key) != null }
            .minByOrNull { it.inFlight } ?: return
        homes[moved.listed.identity] = taker.key
    }

    internal companion object {
        /** Tokens; keeps a share for a model that has no work at the moment. */
        private const val LEAST_DEMAND = 200.0

        /** Upstreams; a smaller imbalance is not worth another load. */
        private const val REBALANCE_EXCESS = 1.0

        /** Returns the number of versions that [card] lacks up to [target]. */
        fun versionsBehind(card: UpstreamCard, model: ModelName, target: WeightVersion?): Long {
            val held = card.version(model) ?: return 0
            return (target ?: held).number - held.number
        }
    }
}
