package org.zinniahoist.state.coordination

import kotlinx.serialization.Serializable
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion

/** An instruction to an upstream. */
@Serializable
public sealed interface Order {
    /** Loads [version] of [model] from the instance [source], or from the weight store if [source] is null. */
    @Serializable
    public data class LoadVersion(
        public val model: ModelName,
        public val version: WeightVersion,
        public val source: InstanceName? = null,
    ) : Order

    /** Loads [adapter] for [model]. */
    @Serializable
    public data class LoadAdapter(
        public val model: ModelName,
        public val adapter: String,
    ) : Order

    /** Changes the role of the upstream to [role]. */
    @Serializable
    public data class ChangeRole(public val role: String) : Order
}

/** An [order] with its fencing [token], by which the receiver rejects older orders. */
@Serializable
public data class FencedOrder(
    public val token: FencingToken,
    public val order: Order,
)
