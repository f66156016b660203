package org.zinniahoist.policy.dispatch

import kotlin.time.Duration

/** Explains why an item is waiting. */
public data class WaitReport(
    public val key: ItemKey,
    /** Time since the submission or the last event of the item; runs that brought no event do not reset it. */
    public val waited: Duration,
    public val reason: WaitReason,
    public val upstreams: UpstreamCounts,
)

/** Reason why an item is waiting. */
public sealed interface WaitReason {
    /** The item backs off and is not retried before [remaining] has passed. */
    public data class Paused(public val remaining: Duration) : WaitReason

    /** No upstream can run the item; [WaitReport.upstreams] shows the causes. */
    public data object NoCandidate : WaitReason

    /** Upstreams with a free slot exist, but none has memory for the [tokens] that the item is expected to hold. */
    public data class NoMemory(public val tokens: Int) : WaitReason

    /** All slots are in use, and [ahead] items of higher priority or of workspaces with a smaller share go first. */
    public data class Share(public val ahead: Int) : WaitReason

    /** The next tick can start the item. */
    public data object Startable : WaitReason
}

/** Counts the upstreams of a service by their state with respect to an item. An upstream may count several times. */
public data class UpstreamCounts(
    /** Upstreams of the service in the latest listing. */
    public val listed: Int = 0,
    /** Upstreams on which the item may be placed now. */
    public val usable: Int = 0,
    public val leaving: Int = 0,
    public val suspended: Int = 0,
    public val loading: Int = 0,
    public val withoutWeights: Int = 0,
    public val withoutFreeSlot: Int = 0,
    /** Usable upstreams that are a last choice because an earlier run of the item did not complete there. */
    public val avoided: Int = 0,
)
