package org.zinniahoist.daemon.control

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Upstream
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.rollout.EngineState
import org.zinniahoist.policy.rollout.RolloutAction
import org.zinniahoist.policy.rollout.RolloutPlanner
import org.zinniahoist.policy.rollout.RolloutState
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.coordination.CoordinationAnswer
import org.zinniahoist.state.coordination.CoordinationCommand
import org.zinniahoist.state.coordination.CoordinationQuery
import org.zinniahoist.state.coordination.Order
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Rolls published weight versions out to the engines, on the replica that leads the `settings` group.
 *
 * Orders are commands of the group, so that a replica that wrongly believes it leads can't issue any.
 */
public class RolloutCoordinator(
    private val control: ControlClient,
    private val observer: EngineObserver,
    private val planner: RolloutPlanner,
    private val events: EventRecorder,
    private val swapTimeout: Duration = 60.seconds,
) {
    private val swapping = ConcurrentHashMap<InstanceName, SwapInProgress>()

    /** Issues the orders that are due. */
    public suspend fun step(now: Moment) {
        val result = control.query(
            GroupName.SETTINGS,
            StateCodec.encode<CoordinationQuery>(CoordinationQuery.ReadOverview),
        )
        if (result !is ControlResult.Answered) return
        val overview = StateCodec.decode<CoordinationAnswer>(result.content) as? CoordinationAnswer.Overview ?: return
        overview.targets.forEach { (model, target) -> rollOut(model, target, now) }
    }

    private suspend fun rollOut(model: ModelName, target: WeightVersion, now: Moment) {
        val engines = observer.observed().mapNotNull { engineState(it, model, target, now) }
        val known = engines.mapNotNull { it.serving }.toSet() + target
        val swaps = planner.plan(RolloutState(target, known, engines)).filterIsInstance<RolloutAction.Swap>()
        // One after another, the orders of 10,000 engines would wait for 10,000 syncs.
        coroutineScope { swaps.forEach { launch { order(it.instance, model, it.version, now) } } }
    }

    /** Sidecars hand weights to their engine during the swap, so that each counts as a holder of the target. */
    private fun engineState(
        process: ObservedProcess,
        model: ModelName,
        target: WeightVersion,
        now: Moment,
    ): EngineState? {
        val engine = process.hello.upstream as? Upstream.ModelEngine ?: return null
        if (engine.model != model) return null
        val load = process.heartbeat.load
        val serving = load?.version
        val swap = swapping[engine.instance]
        val ended = swap != null && (serving == swap.version || now - swap.since > swapTimeout)
        if (ended) swapping.remove(engine.instance)
        return EngineState(
            instance = engine.instance,
            failureDomain = engine.failureDomain,
            serving = serving,
            held = setOf(target),
            swapping = swapping[engine.instance]?.version,
            inRouting = load?.available ?: false,
        )
    }

    private suspend fun order(
        instance: InstanceName,
        model: ModelName,
        version: WeightVersion,
        now: Moment,
    ) {
        val command = CoordinationCommand.IssueOrder(instance, Order.LoadVersion(model, version))
        val result = control.command(GroupName.SETTINGS, StateCodec.encode<CoordinationCommand>(command))
        if (result is ControlResult.Answered) {
            swapping[instance] = SwapInProgress(version, now)
            events.record("swap-ordered", "instance" to instance, "model" to model, "version" to version.number)
        }
    }

    private class SwapInProgress(
        val version: WeightVersion,
        val since: Moment,
    )
}
