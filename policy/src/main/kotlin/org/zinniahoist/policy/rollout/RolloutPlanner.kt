package org.zinniahoist.policy.rollout

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.WeightVersion

/** Plans the rollout of a weight version to engines. Stateless: the actions depend only on the given state. */
public fun interface RolloutPlanner {
    /** Returns the actions to start now. Actions in progress are part of [state] and are not returned again. */
    public fun plan(state: RolloutState): List<RolloutAction>
}

/**
 * State of a rollout.
 *
 * @property target version to roll out, or null if there is none.
 * @property known versions that engines may serve. It excludes withdrawn versions.
 */
public data class RolloutState(
    public val target: WeightVersion?,
    public val known: Set<WeightVersion>,
    public val engines: List<EngineState>,
)

/**
 * State of one engine and its sidecar.
 *
 * @property serving version that the engine reports, or null if it serves none.
 * @property held versions whose weights the sidecar stores.
 * @property fetch transfer in progress, or null.
 * @property swapping version that the engine is loading, or null.
 * @property otherSwap whether the engine is loading weights of another model or adapter, during which it accepts no
 * requests.
 * @property inRouting whether requests are routed to the engine.
 */
public data class EngineState(
    public val instance: InstanceName,
    public val failureDomain: FailureDomain,
    public val serving: WeightVersion?,
    public val held: Set<WeightVersion> = emptySet(),
    public val fetch: Fetch? = null,
    public val swapping: WeightVersion? = null,
    public val otherSwap: Boolean = false,
    public val inRouting: Boolean = true,
)

/** Transfer of the weights of [version] from the sidecar [source], or from the store if [source] is null. */
public data class Fetch(
    public val version: WeightVersion,
    public val source: InstanceName?,
)

/** Action to start on one engine or its sidecar. */
public sealed interface RolloutAction {
    /** Instance of the engine. */
    public val instance: InstanceName

    /** The sidecar fetches the weights while the engine continues to serve requests. */
    public data class BeginFetch(
        override val instance: InstanceName,
        public val fetch: Fetch,
    ) : RolloutAction

    /** The sidecar cancels the transfer of a version that is no longer the target. */
    public data class StopFetch(override val instance: InstanceName) : RolloutAction

    /** The engine loads a version that its sidecar stores. It accepts no requests until the version is loaded. */
    public data class Swap(
        override val instance: InstanceName,
        public val version: WeightVersion,
    ) : RolloutAction

    /** Removes an engine that serves no version from routing. */
    public data class TakeOut(override val instance: InstanceName) : RolloutAction

    /** Returns an engine that serves a known version to routing. */
    public data class PutBack(override val instance: InstanceName) : RolloutAction
}
