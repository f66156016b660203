package org.zinniahoist.policy.reward

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Timeouts and limits of a [RewardScheduler]. */
public data class RewardOptions(
    /** Share of the slots of an upstream that reward calls may use. The others stay free for live callers. */
    public val slotShare: Double = 0.5,
    /** The timeout of the first call as a multiple of the latency target of its route; doubled with each lost call. */
    public val timeoutTargetFactor: Double = 2.0,
    /** Back-off of a call after a refusal that states none, or after a call that did not reach its upstream. */
    public val refusalBackoff: Duration = 60.milliseconds,
    /** Upper bound of the back-off that an upstream can demand, within which a recovered upstream is used again. */
    public val maximumRefusalBackoff: Duration = 2.seconds,
    /** Back-off before the third call if the first two were lost; doubled with each further lost call. */
    public val lossBackoff: Duration = 100.milliseconds,
    /** Time for which an item prefers other upstreams after a call of it failed, was lost or was refused on one. */
    public val avoidanceDuration: Duration = 3.seconds,
    /** Upper bound of the back-off after lost calls. It limits how often a single call can crash upstreams. */
    public val maximumLossBackoff: Duration = 1.seconds,
)
