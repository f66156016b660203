package org.zinniahoist.policy.rollout

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.WeightVersion

/** Plans how engines get a new weight version. Stateless: the same state gives the same actions. */
public fun interface RolloutPlanner {
    /** Returns the actions to begin now. Actions in progress are part of [state] and are not repeated. */
    public fun plan(state: RolloutState): List<RolloutAction>
}

/**
 * State of a rollout.
 *
 * @property target version to load, or null if there is none.
 * @property known versions that an engine may serve. A withdrawn version is not among them.
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
 * @property held versions whose weights the sidecar has.
 * @property fetch transfer in progress.
 * @property swapping version that the engine is loading.
 * @property otherSwap whether the engine loads weights of another model or adapter, and so takes no requests.
 * @property inRouting whether the engine gets requests.
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

/** A transfer of the weights of [version] from the sidecar [source], or from the store if it is null. */
public data class Fetch(
    public val version: WeightVersion,
    public val source: InstanceName?,
)

/** Something to begin for one engine. */
public sealed interface RolloutAction {
    /** The engine that the action is for. */
    public val instance: InstanceName

    /** The sidecar gets the weights while the engine goes on serving. */
    public data class BeginFetch(
        override val instance: InstanceName,
        public val fetch: Fetch,
    ) : RolloutAction

    /** The sidecar drops a transfer of a version that is not wanted. */
    public data class StopFetch(override val instance: InstanceName) : RolloutAction

    /** The engine loads a version that its sidecar holds. It takes no requests meanwhile. */
    public data class Swap(
        override val instance: InstanceName,
        public val version: WeightVersion,
    ) : RolloutAction

    /** The engine serves no known version and leaves routing. */
    public data class TakeOut(override val instance: InstanceName) : RolloutAction

    /** The engine serves a known version and returns to routing. */
    public data class PutBack(override val instance: InstanceName) : RolloutAction
}
