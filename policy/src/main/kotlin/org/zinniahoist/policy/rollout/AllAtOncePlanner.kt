package org.zinniahoist.policy.rollout

/** Baseline planner: each sidecar fetches the weights from the store, and each engine swaps as soon as possible. */
public class AllAtOncePlanner(private val storeTransfers: Int = 8) : RolloutPlanner {
    override fun plan(state: RolloutState): List<RolloutAction> {
        val target = state.target ?: return emptyList()
        var freeTransfers = storeTransfers - state.engines.count { it.fetch != null }
        return state.engines.filter { it.swapping == null && it.serving != target }.mapNotNull { engine ->
            when {
                target in engine.held -> RolloutAction.Swap(engine.instance, target)
                engine.fetch != null || freeTransfers-- <= 0 -> null
                else -> RolloutAction.BeginFetch(engine.instance, Fetch(target, null))
            }
        }
    }
}
