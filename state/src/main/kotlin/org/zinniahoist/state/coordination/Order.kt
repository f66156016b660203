package org.zinniahoist.state.coordination

import kotlinx.serialization.Serializable
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion

/** What an engine is told to do. */
@Serializable
public sealed interface Order {
    /** Load [version] of [model]. [source] is an instance that holds the version; null means the weight store. */
    @Serializable
    public data class LoadVersion(
        public val model: ModelName,
        public val version: WeightVersion,
        public val source: InstanceName? = null,
    ) : Order

    /** Load [adapter] for [model]. */
    @Serializable
    public data class LoadAdapter(
        public val model: ModelName,
        public val adapter: String,
    ) : Order

    /** Take the role [role]. */
    @Serializable
    public data class ChangeRole(public val role: String) : Order
}

/** An [order] with the [token] with which a receiver rejects older orders. */
@Serializable
public data class FencedOrder(
    public val token: FencingToken,
    public val order: Order,
)
