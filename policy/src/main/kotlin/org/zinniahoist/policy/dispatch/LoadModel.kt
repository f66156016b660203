package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion

/** What an upstream says of itself. */
public data class UpstreamReport(
    public val versions: Map<ModelName, WeightVersion>,
    /** True while an order is in progress. */
    public val isBusy: Boolean,
    /** Orders that the upstream has accepted since its start. */
    public val acceptedOrders: Long,
)

/** What happens to requests that run while new weights are loaded. */
public enum class LoadMode {
    /** Runs finish first. */
    WAIT,

    /** Runs go on under the new weights. */
    KEEP,
}

/** How an upstream answered an order. */
public enum class OrderAnswer { ACCEPTED, HOLDS_ALREADY, CONFLICT, STALE_FENCE, UNKNOWN }

/** What the shell has to do for a [WeightLoader]. */
public sealed interface LoadAction {
    /** Read the report of [upstream]. */
    public data class ReadReport(public val upstream: ListedUpstream) : LoadAction

    /** Order [upstream] to load [version]; it must have accepted [expectedOrders] orders before. */
    public data class Order(
        public val upstream: ListedUpstream,
        public val model: ModelName,
        public val version: WeightVersion,
        public val mode: LoadMode,
        public val expectedOrders: Long,
    ) : LoadAction
}
