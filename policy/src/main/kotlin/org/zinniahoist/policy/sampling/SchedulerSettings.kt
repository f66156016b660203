package org.zinniahoist.policy.sampling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of [LongestFirstScheduler].
 *
 * @property hedging whether stragglers are hedged. The default is off, because in experiments hedges cost tokens and
 * saved no idle time.
 * @property discardedShare maximum ratio of the tokens of lost hedges and failed attempts to the delivered tokens. No
 * sample is hedged beyond it.
 * @property minimumHedgeSpeedup minimum ratio of the expected remaining time of an attempt to the expected time of its
 * hedge.
 * @property hedgeSearchInterval minimum time from an unsuccessful search for stragglers to the next search.
 */
public data class SchedulerSettings(
    public val hedging: Boolean = false,
    public val discardedShare: Double = 0.03,
    public val minimumHedgeSpeedup: Double = 1.3,
    public val hedgeSearchInterval: Duration = 200.milliseconds,
)
