package org.zinniahoist.policy.admission

import org.zinniahoist.model.Moment
import kotlin.time.Duration

/** Limits the attempts that a sidecar gives to its upstream at once. */
public interface ConcurrencyLimiter {
    /** Attempts of all kinds that may run at once. */
    public val limit: Int

    /** Attempts up to which trainers may fill the upstream. */
    public val trainingLimit: Int

    /** Attempts without a first token from which trainers wait. */
    public val startingLimit: Int

    /** Records [tokens] that the upstream produced for all its attempts while it ran [running] of them. */
    public fun onTokens(tokens: Int, running: Int, now: Moment)

    /** Records the time from the arrival of a live attempt at the sidecar to its first token. */
    public fun onLiveFirstToken(elapsed: Duration, now: Moment)
}

/** Baseline: the same limit at all times. */
public class FixedConcurrencyLimiter(override val limit: Int = 32) : ConcurrencyLimiter {
    override val trainingLimit: Int get() = limit

    override val startingLimit: Int get() = Int.MAX_VALUE

    override fun onTokens(tokens: Int, running: Int, now: Moment): Unit = Unit

    override fun onLiveFirstToken(elapsed: Duration, now: Moment): Unit = Unit
}
