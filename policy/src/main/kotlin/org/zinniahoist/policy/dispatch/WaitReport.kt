package org.zinniahoist.policy.dispatch

import kotlin.time.Duration

/** Says why an item is not running at one moment. */
public data class WaitReport(
    public val key: ItemKey,
    /** Time since the item was handed in or since its last event, without runs that brought no event. */
    public val waited: Duration,
    public val reason: WaitReason,
    public val upstreams: UpstreamCounts,
)

/** What an item that is not running waits for. */
public sealed interface WaitReason {
    /** The item is not tried again before [remaining] has passed. */
    public data class Paused(public val remaining: Duration) : WaitReason

    /** No upstream can be chosen; the counts of the report say why. */
    public data object NoCandidate : WaitReason

    /** The next tick starts the item. */
    public data object Startable : WaitReason
}

/** Counts the upstreams of one service by what they are for one item. An upstream may count several times. */
public data class UpstreamCounts(
    /** Upstreams of the service in the latest list. */
    public val listed: Int = 0,
    /** Upstreams among which the item may be placed now. */
    public val usable: Int = 0,
    public val leaving: Int = 0,
    public val suspended: Int = 0,
    public val loading: Int = 0,
    public val withoutWeights: Int = 0,
    public val withoutPlace: Int = 0,
    /** Usable upstreams that come after the others because of an earlier run of the item. */
    public val avoided: Int = 0,
)
