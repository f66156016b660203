package org.zinniahoist.policy.rollout

/** Baseline: each sidecar gets the weights from the store, and each engine swaps as soon as it can. */
public class AllAtOncePlanner(private val storeTransfers: Int = 8) : RolloutPlanner {
    override fun plan(state: RolloutState): List<RolloutAction> {
        val target = state.target ?: return emptyList()
        var transfers = storeTransfers - state.engines.count { it.fetch != null }
        return state.engines.filter { it.swapping == null && it.serving != target }.mapNotNull { engine ->
            when {
                target in engine.held -> RolloutAction.Swap(engine.instance, target)
                engine.fetch != null || transfers-- <= 0 -> null
                else -> RolloutAction.BeginFetch(engine.instance, Fetch(target, null))
            }
        }
    }
}
