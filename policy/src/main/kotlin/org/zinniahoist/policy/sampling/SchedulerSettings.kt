package org.zinniahoist.policy.sampling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of [LongestFirstScheduler].
 *
 * @property hedging whether stragglers are hedged. It is off, as hedges cost tokens and saved no idle time in runs.
 * @property thrownAwayShare tokens of lost hedges and failed attempts, relative to delivered tokens, up to which
 * samples are hedged.
 * @property hedgeGain how many times longer than its hedge an attempt must be expected to take.
 * @property hedgeInterval time between two searches for stragglers.
 */
public data class SchedulerSettings(
    public val hedging: Boolean = false,
    public val thrownAwayShare: Double = 0.03,
    public val hedgeGain: Double = 1.3,
    public val hedgeInterval: Duration = 200.milliseconds,
)
