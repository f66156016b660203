package org.zinniahoist.policy.duty

import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.routes.ScalingBounds

/** Supply of a service whose number of upstreams is ordered, and its demand. */
public data class ScaledService(
    public val service: ServiceName,
    public val bounds: ScalingBounds,
    /** Slots that the present work needs, or null if that is unknown. */
    public val wantedSlots: Double?,
    /** Listed upstreams that are not leaving, by failure domain. */
    public val counts: Map<String, Int>,
    /** Mean number of slots of one upstream. */
    public val slotsPerUpstream: Double,
)

/** Orders [count] upstreams of [service] in [failureDomain]. */
public data class CountOrder(
    public val service: ServiceName,
    public val failureDomain: String,
    public val count: Int,
)

/** Decides the number of upstreams of each service and failure domain. Not thread-safe. */
public interface UpstreamCountPolicy {
    /** Returns the orders that are due at [now], given the services with scaling. */
    public fun orders(services: List<ScaledService>, now: Moment): List<CountOrder>

    /** Records that the platform answered [order] at [now]. */
    public fun onAnswered(order: CountOrder, now: Moment)

    /** Forgets everything, at the start of a term. */
    public fun clear()
}
