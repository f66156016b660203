package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion

/** Status that an upstream reports about its weights and load orders. */
public data class UpstreamReport(
    public val versions: Map<ModelName, WeightVersion>,
    /** True while the upstream executes a load order. */
    public val isBusy: Boolean,
    /** Number of load orders that the upstream has accepted since it started. */
    public val acceptedOrders: Long,
)

/** Treatment of running requests during a weight load. */
public enum class LoadMode {
    /** The upstream completes running requests before it loads the weights. */
    WAIT,

    /** Running requests continue under the new weights. */
    KEEP,
}

/** Response of an upstream to a load order. */
public enum class OrderAnswer { ACCEPTED, HOLDS_ALREADY, CONFLICT, STALE_FENCE, UNKNOWN }

/** Action that the caller of the [WeightLoader] executes on its behalf. */
public sealed interface LoadAction {
    /** Requests the status report of [upstream]. */
    public data class ReadReport(public val upstream: ListedUpstream) : LoadAction

    /** Orders [upstream] to load [version], provided that it has accepted [expectedOrders] orders so far. */
    public data class Order(
        public val upstream: ListedUpstream,
        public val model: ModelName,
        public val version: WeightVersion,
        public val mode: LoadMode,
        public val expectedOrders: Long,
    ) : LoadAction
}
