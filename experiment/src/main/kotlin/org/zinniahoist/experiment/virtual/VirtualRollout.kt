package org.zinniahoist.experiment.virtual

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.rollout.EngineState
import org.zinniahoist.policy.rollout.RolloutAction
import org.zinniahoist.policy.rollout.RolloutState

/** Brings the versions of one trainer to the engines as the planner decides. */
internal class VirtualRollout(
    private val loop: EventLoop,
    policies: PolicySet,
    private val trainer: TrainerName,
    private val sidecars: Map<InstanceName, VirtualSidecar>,
    private val entries: List<VirtualEntry>,
) {
    private val planner = policies.rollout()
    private val engines = LinkedHashMap<InstanceName, EngineState>()
    private var target = WeightVersion(0)

    init {
        sidecars.values.forEach {
            it.versions[trainer] = target
            engines[it.instance] = EngineState(it.instance, it.failureDomain, target, setOf(target))
        }
    }

    /** Called when a swap of any trainer ends. */
    var onSwapped: () -> Unit = {}

    fun begin(version: WeightVersion) {
        target = version
        proceed()
    }

    fun proceed() {
        val known = setOf(target, WeightVersion(target.number - 1))
        val states = engines.values.map {
            it.copy(otherSwap = it.swapping == null && sidecars.getValue(it.instance).swaps > 0)
        }
        planner.plan(RolloutState(target, known, states)).forEach(::apply)
    }

    private fun apply(action: RolloutAction) {
        val instance = action.instance
        when (action) {
            is RolloutAction.BeginFetch -> {
                change(instance) { copy(fetch = action.fetch) }
                loop.after(Sizes.weightHop) {
                    change(instance) { copy(fetch = null, held = setOf(action.fetch.version)) }
                    proceed()
                }
            }
            is RolloutAction.Swap -> swap(instance, action.version)
            is RolloutAction.StopFetch -> change(instance) { copy(fetch = null) }
            is RolloutAction.TakeOut -> change(instance) { copy(inRouting = false) }
            is RolloutAction.PutBack -> change(instance) { copy(inRouting = true) }
        }
    }

    private fun swap(instance: InstanceName, version: WeightVersion) {
        val sidecar = sidecars.getValue(instance)
        change(instance) { copy(swapping = version) }
        sidecar.engine.pause(Sizes.weightSwap)
        sidecar.swaps += 1
        entries.forEach { it.updateAvailability(sidecar) }
        loop.after(Sizes.weightSwap) {
            change(instance) { copy(swapping = null, serving = version) }
            sidecar.versions[trainer] = version
            sidecar.swaps -= 1
            entries.forEach { it.updateAvailability(sidecar) }
            onSwapped()
        }
    }

    private fun change(instance: InstanceName, change: EngineState.() -> EngineState) {
        engines.computeIfPresent(instance) { _, state -> state.change() }
    }
}
