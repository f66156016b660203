package org.zinniahoist.policy.admission

import org.zinniahoist.model.Moment
import kotlin.time.Duration

/** Limits the number of attempts that a sidecar runs on its upstream concurrently. */
public interface ConcurrencyLimiter {
    /** Maximum number of concurrent attempts, live and training. */
    public val limit: Int

    /** Number of concurrent attempts from which no training attempt starts. */
    public val trainingLimit: Int

    /** Number of attempts without a first token from which no training attempt starts. */
    public val startingLimit: Int

    /** Records that the upstream generated [tokens] tokens in total while [running] attempts ran on it. */
    public fun onTokens(tokens: Int, running: Int, now: Moment)

    /** Records the time to first token of a live attempt, measured from its arrival at the sidecar. */
    public fun onLiveFirstToken(elapsed: Duration, now: Moment)
}

/** Baseline limiter: applies a constant limit. */
public class FixedConcurrencyLimiter(override val limit: Int = 32) : ConcurrencyLimiter {
    override val trainingLimit: Int get() = limit

    override val startingLimit: Int get() = Int.MAX_VALUE

    override fun onTokens(tokens: Int, running: Int, now: Moment): Unit = Unit

    override fun onLiveFirstToken(elapsed: Duration, now: Moment): Unit = Unit
}
