package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion

/**
 * Assigns each upstream to one of the models that it holds, in proportion to the demand for each model.
 *
 * New weights of a model are loaded only on the upstreams assigned to it. When several trainers share the upstreams,
 * loading every version of every model on all of them would keep them loading most of the time.
 */
internal class ModelAssignments(private val registry: UpstreamRegistry) {
    private val assignments = HashMap<UpstreamIdentity, ModelName>()
    private var shares: Map<ModelName, Double> = emptyMap()

    /** Returns true if [tracked] is assigned to [model] and receives its new weights. */
    fun isAssigned(tracked: TrackedUpstream, model: ModelName): Boolean = assignments[tracked.listed.identity] == model

    /** Number of upstreams that are assigned to a model. */
    val assignedUpstreams: Int get() = assignments.size

    /** Returns the fractional number of upstreams due to [model] by demand at the latest assignment. */
    fun share(model: ModelName): Double = shares[model] ?: 0.0

    /** Returns the number of upstreams assigned to [model]. */
    fun count(model: ModelName): Int = assignments.values.count { it == model }

    /**
     * Assigns every unassigned upstream, and reassigns at most one upstream to a model that has too few.
     *
     * Every model that the upstreams hold gets a share, so that the first model with a published version does not get
     * all upstreams.
     *
     * @param newest the newest published version of each model.
     * @param tokens returns the expected tokens of the demand for a model.
     */
    fun assign(newest: Map<ModelName, WeightVersion>, tokens: (ModelName) -> Long) {
        val holders = registry.all.filter { !it.listed.isLeaving && it.models.isNotEmpty() }
        val models = holders.flatMapTo(LinkedHashSet()) { it.models }
        if (models.isEmpty()) return
        val present = holders.mapTo(HashSet()) { it.listed.identity }
        assignments.entries.removeIf { it.key !in present || it.value !in models }
        shares = shares(models.associateWith { tokens(it) + MINIMUM_DEMAND_TOKENS }, holders.size)
        for (tracked in holders) {
            if (tracked.listed.identity !in assignments) assignModel(tracked, newest)
        }
        rebalance(holders)
    }

    private fun shares(demand: Map<ModelName, Double>, upstreams: Int): Map<ModelName, Double> {
        val total = demand.values.sum()
        return demand.mapValues { (_, tokens) -> upstreams * tokens / total }
    }

    /** Prefers models below their share of upstreams, then the model whose weights on [tracked] are least outdated. */
    private fun assignModel(tracked: TrackedUpstream, newest: Map<ModelName, WeightVersion>) {
        val assigned = tracked.models.minWithOrNull(
            compareBy<ModelName>(
                { count(it) >= shares.getValue(it) },
                { versionsBehind(tracked, it, newest[it]) },
                { count(it) / shares.getValue(it) },
            ),
        )
        if (assigned != null) assignments[tracked.listed.identity] = assigned
    }

    private fun rebalance(holders: List<TrackedUpstream>) {
        val excess = shares.keys.associateWith { count(it) - shares.getValue(it) }
        val donor = excess.maxBy { it.value }
        val recipient = excess.minBy { it.value }
        if (donor.value < REBALANCE_THRESHOLD || recipient.value > -REBALANCE_THRESHOLD) return
        val moved = holders
            .filter { isAssigned(it, donor.key) && !it.isLoading && it.version(recipient.key) != null }
            .minByOrNull { it.inFlight } ?: return
        assignments[moved.listed.identity] = recipient.key
    }

    internal companion object {
        /** Added to the demand for each model, so that a model keeps a share while it has no work. */
        private const val MINIMUM_DEMAND_TOKENS = 200.0

        /** Reassigning an upstream costs a weight load, which a smaller imbalance does not justify. */
        private const val REBALANCE_THRESHOLD = 1.0

        /** Returns the number of versions by which [tracked] is behind [target]; 0 if it does not hold [model]. */
        fun versionsBehind(tracked: TrackedUpstream, model: ModelName, target: WeightVersion?): Long {
            val held = tracked.version(model) ?: return 0
            return (target ?: held).number - held.number
        }
    }
}
