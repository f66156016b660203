package org.zinniahoist.policy.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Timeouts and limits of an [ItemDispatcher].
 *
 * The platform requires that no item is without a healthy upstream for more than 5 s. The dispatcher takes up to
 * [maximumStallTimeout] plus [maximumSuspicionBackoff] to place an item again.
 */
public data class DispatchOptions(
    /** Time without an event after which a run has stalled and its item moves; doubled with each move of the item. */
    public val stallTimeout: Duration = 700.milliseconds,
    /** Upper bound of the doubled [stallTimeout]. */
    public val maximumStallTimeout: Duration = 2_500.milliseconds,
    /** Added to the stall timeout while the upstream loads weights, because its streams pause during a load. */
    public val loadStallAllowance: Duration = 1_500.milliseconds,
    /** A run is slow if the event interval of its upstream is at least this multiple of the median. */
    public val slowStreamFactor: Double = 2.5,
    /** Number of consecutive runs broken without an event after which an item is suspected of crashing upstreams. */
    public val suspicionThreshold: Int = 3,
    /** Initial back-off of a suspected item; doubled with each further run that breaks without an event. */
    public val suspicionBackoff: Duration = 250.milliseconds,
    /** Upper bound of the back-off of a suspected item. It limits how often a single item can crash upstreams. */
    public val maximumSuspicionBackoff: Duration = 1_000.milliseconds,
    /** Back-off of an item after an upstream refused it, and of the upstream for all items. */
    public val refusalBackoff: Duration = 60.milliseconds,
    /** Time for which an item prefers other upstreams after a run of it broke, failed or was refused on one. */
    public val avoidanceDuration: Duration = 3_000.milliseconds,
    /** Wait of an item that fits into no memory after which an upstream is kept free for it. */
    public val reservationDelay: Duration = 1_000.milliseconds,
    public val itemOrder: ItemOrderKind = ItemOrderKind.DUE_TIME,
    public val placement: PlacementKind = PlacementKind.SLOTS,
)

/** Selects the [ItemOrder]. */
public enum class ItemOrderKind { DUE_TIME, FAIR_SHARE }

/** Selects the [UpstreamFit]. */
public enum class PlacementKind { SLOTS, MEMORY }
