package org.zinniahoist.policy.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Times and limits of an [ItemDispatcher].
 *
 * An item may be at no sound upstream for the longest silence and the longest pause of a suspect together; the platform
 * allows 5 s.
 */
public data class DispatchOptions(
    /** Silence of a stream after which its item moves to another upstream; doubled with each move of the item. */
    public val stallLimit: Duration = 700.milliseconds,
    /** Longest silence that is borne. */
    public val longestStallLimit: Duration = 2_500.milliseconds,
    /** Added to the limits while the upstream loads weights, during which its streams stand still. */
    public val loadAllowance: Duration = 1_500.milliseconds,
    /** A stream moves if its upstream is slower than the others by this factor. */
    public val slowFactor: Double = 2.5,
    /** Runs in a row that broke without an event, after which an item is suspected to crash upstreams. */
    public val suspicionLimit: Int = 3,
    /** Pause before a suspected item is tried again; doubled with each further run that breaks without an event. */
    public val suspicionPause: Duration = 250.milliseconds,
    /** Bounds the pause of a suspected item, and with it how often one item can crash an upstream. */
    public val longestSuspicionPause: Duration = 1_000.milliseconds,
    /** Pause after an upstream refused an item. */
    public val refusalPause: Duration = 60.milliseconds,
    /** Time for which an item prefers other upstreams to one that broke, failed or refused its run. */
    public val avoidance: Duration = 3_000.milliseconds,
)
