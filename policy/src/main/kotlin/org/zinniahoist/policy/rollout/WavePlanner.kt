package org.zinniahoist.policy.rollout

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.WeightVersion
import kotlin.math.floor

/** Passes weights on from sidecar to sidecar, and swaps engines in waves within each failure domain. */
public class WavePlanner(private val settings: RolloutSettings = RolloutSettings()) : RolloutPlanner {
    override fun plan(state: RolloutState): List<RolloutAction> = state.engines.mapNotNull { routing(it, state) } +
        state.engines.mapNotNull { stop(it, state) } +
        fetches(state) +
        swaps(state)

    private fun routing(engine: EngineState, state: RolloutState): RolloutAction? = when {
        engine.swapping != null -> null
        engine.inRouting && engine.serving == null -> RolloutAction.TakeOut(engine.instance)
        !engine.inRouting && engine.serving in state.known -> RolloutAction.PutBack(engine.instance)
        else -> null
    }

    private fun stop(engine: EngineState, state: RolloutState): RolloutAction? =
        engine.fetch?.takeIf { it.version != state.target }?.let { RolloutAction.StopFetch(engine.instance) }

    private fun fetches(state: RolloutState): List<RolloutAction> {
        val target = state.target ?: return emptyList()
        val sources = TransferSources(state, target, settings)
        val needing = state.engines.filter { it.fetch == null && target !in it.held && it.serving != target }
        // Failure domains take turns, so that each gets a first holder early.
        val turns = needing.groupBy { it.failureDomain }.values
            .flatMap { engines -> engines.mapIndexed { turn, engine -> turn to engine } }
            .sortedBy { it.first }
        val actions = ArrayList<RolloutAction>()
        for ((_, engine) in turns) {
            if (sources.isEmpty) break
            actions.add(RolloutAction.BeginFetch(engine.instance, sources.take(engine.failureDomain)))
        }
        return actions
    }

    private fun swaps(state: RolloutState): List<RolloutAction> {
        val target = state.target ?: return emptyList()
        var routable = state.engines.count { it.servesCallers }
        return state.engines.groupBy { it.failureDomain }.values.flatMap { engines ->
            val wave = floor(settings.waveShare * engines.size).toInt().coerceAtLeast(1)
            var places = wave - engines.count { it.swapping != null || it.otherSwap }
            engines.filter { it.swapping == null && !it.otherSwap && it.serving != target && target in it.held }
                // Engines out of routing cost nothing, and those with withdrawn weights are the most urgent.
                .sortedBy { engine ->
                    when {
                        !engine.servesCallers -> 0
                        engine.serving !in state.known -> 1
                        else -> 2
                    }
                }
                .mapNotNull { engine ->
                    val last = engine.servesCallers && routable == 1 && state.engines.size > 1
                    if (engine.servesCallers && (places <= 0 || last)) return@mapNotNull null
                    places -= 1
                    if (engine.servesCallers) routable -= 1
                    RolloutAction.Swap(engine.instance, target)
                }
        }
    }

    private val EngineState.servesCallers: Boolean get() = inRouting &&
        swapping == null &&
        !otherSwap &&
        serving != null
}

/** Free transfers of the store and of the sidecars that hold the version. */
private class TransferSources(
    state: RolloutState,
    private val target: WeightVersion,
    settings: RolloutSettings,
) {
    private val transfers = state.engines.mapNotNull { it.fetch }.filter { it.version == target }
    private val outgoing = transfers.groupingBy { it.source }.eachCount()
    private var store = settings.storeTransfers - state.engines.count { it.fetch != null && it.fetch.source == null }
    private val holders = state.engines.filter { target in it.held }
        .flatMap { holder -> List(free(holder, settings)) { holder } }
        .groupByTo(LinkedHashMap()) { it.failureDomain }
    private var remaining = holders.values.sumOf { it.size }

    val isEmpty: Boolean get() = remaining == 0 && store <= 0

    /** Prefers a sidecar in [domain], then in its region, then any, then the store. */
    fun take(domain: FailureDomain): Fetch {
        if (remaining == 0) {
            store -= 1
            return Fetch(target, null)
        }
        val free = holders.filterValues { it.isNotEmpty() }
        val place = when {
            domain in free -> domain
            else -> free.keys.firstOrNull { it.region == domain.region } ?: free.keys.first()
        }
        remaining -= 1
        return Fetch(target, holders.getValue(place).removeLast().instance)
    }

    private fun free(holder: EngineState, settings: RolloutSettings): Int =
        (settings.fanOut - (outgoing[holder.instance] ?: 0)).coerceAtLeast(0)
}
