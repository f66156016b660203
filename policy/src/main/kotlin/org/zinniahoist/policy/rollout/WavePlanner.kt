package org.zinniahoist.policy.rollout

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.WeightVersion
import kotlin.math.floor

/** Distributes weights peer-to-peer between sidecars, and swaps the engines of each failure domain in waves. */
public class WavePlanner(private val settings: RolloutSettings = RolloutSettings()) : RolloutPlanner {
    override fun plan(state: RolloutState): List<RolloutAction> =
        state.engines.mapNotNull { routingAction(it, state) } +
            state.engines.mapNotNull { stopAction(it, state) } +
            fetchActions(state) +
            swapActions(state)

    private fun routingAction(engine: EngineState, state: RolloutState): RolloutAction? = when {
        engine.swapping != null -> null
        engine.inRouting && engine.serving == null -> RolloutAction.TakeOut(engine.instance)
        !engine.inRouting && engine.serving in state.known -> RolloutAction.PutBack(engine.instance)
        else -> null
    }

    private fun stopAction(engine: EngineState, state: RolloutState): RolloutAction? =
        engine.fetch?.takeIf { it.version != state.target }?.let { RolloutAction.StopFetch(engine.instance) }

    private fun fetchActions(state: RolloutState): List<RolloutAction> {
        val target = state.target ?: return emptyList()
        val sources = TransferSources(state, target, settings)
        val pendingEngines = state.engines.filter { it.fetch == null && target !in it.held && it.serving != target }
        // Serves failure domains round-robin, so that each of them soon has a sidecar with the weights.
        val roundRobin = pendingEngines.groupBy { it.failureDomain }.values
            .flatMap { engines -> engines.mapIndexed { round, engine -> round to engine } }
            .sortedBy { it.first }
        val actions = ArrayList<RolloutAction>()
        for ((_, engine) in roundRobin) {
            if (sources.isEmpty) break
            actions.add(RolloutAction.BeginFetch(engine.instance, sources.allocate(engine.failureDomain)))
        }
        return actions
    }

    private fun swapActions(state: RolloutState): List<RolloutAction> {
        val target = state.target ?: return emptyList()
        var servingCount = state.engines.count { it.servesCallers }
        return state.engines.groupBy { it.failureDomain }.values.flatMap { engines ->
            val waveSize = floor(settings.waveShare * engines.size).toInt().coerceAtLeast(1)
            var freeSwaps = waveSize - engines.count { it.swapping != null || it.otherSwap }
            engines.filter { it.swapping == null && !it.otherSwap && it.serving != target && target in it.held }
                // Swapping an engine outside routing costs no capacity. Withdrawn weights are the next most urgent.
                .sortedBy { engine ->
                    when {
                        !engine.servesCallers -> 0
                        engine.serving !in state.known -> 1
                        else -> 2
                    }
                }
                .mapNotNull { engine ->
                    val isLastServing = engine.servesCallers && servingCount == 1 && state.engines.size > 1
                    if (engine.servesCallers && (freeSwaps <= 0 || isLastServing)) return@mapNotNull null
                    freeSwaps -= 1
                    if (engine.servesCallers) servingCount -= 1
                    RolloutAction.Swap(engine.instance, target)
                }
        }
    }

    private val EngineState.servesCallers: Boolean get() = inRouting &&
        swapping == null &&
        !otherSwap &&
        serving != null
}

/** Free transfer capacity of the store and of the sidecars that have the target version. */
private class TransferSources(
    state: RolloutState,
    private val target: WeightVersion,
    settings: RolloutSettings,
) {
    private val transfers = state.engines.mapNotNull { it.fetch }.filter { it.version == target }
    private val outgoing = transfers.groupingBy { it.source }.eachCount()
    private var freeStoreTransfers =
        settings.storeTransfers - state.engines.count { it.fetch != null && it.fetch.source == null }
    private val holders = state.engines.filter { target in it.held }
        .flatMap { holder -> List(free(holder, settings)) { holder } }
        .groupByTo(LinkedHashMap()) { it.failureDomain }
    private var remaining = holders.values.sumOf { it.size }

    val isEmpty: Boolean get() = remaining == 0 && freeStoreTransfers <= 0

    /** Allocates a transfer from a sidecar in [domain], else in its region, else anywhere, else from the store. */
    fun allocate(domain: FailureDomain): Fetch {
        if (remaining == 0) {
            freeStoreTransfers -= 1
            return Fetch(target, null)
        }
        val free = holders.filterValues { it.isNotEmpty() }
        val sourceDomain = when {
            domain in free -> domain
            else -> free.keys.firstOrNull { it.region == domain.region } ?: free.keys.first()
        }
        remaining -= 1
        return Fetch(target, holders.getValue(sourceDomain).removeLast().instance)
    }

    private fun free(holder: EngineState, settings: RolloutSettings): Int =
        (settings.fanOut - (outgoing[holder.instance] ?: 0)).coerceAtLeast(0)
}
