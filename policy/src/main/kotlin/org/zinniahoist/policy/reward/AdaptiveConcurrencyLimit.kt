package org.zinniahoist.policy.reward

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Limits the concurrent calls to one service by additive increase and multiplicative decrease: a response within its
 * target raises the limit by one, and a refused, lost or slow call halves it.
 *
 * @param decreaseInterval minimum time between two decreases, so that one incident decreases the limit once.
 */
internal class AdaptiveConcurrencyLimit(private val decreaseInterval: Duration = DECREASE_INTERVAL) {
    private var limit = Int.MAX_VALUE
    private var nextDecrease: Moment? = null

    /** Returns true if another call may start while [inFlight] calls are in progress. */
    fun permits(inFlight: Int): Boolean = inFlight < limit

    /** Records a response that arrived within its target. */
    fun onTimely() {
        if (limit < Int.MAX_VALUE) limit++
    }

    /**
     * Records a refused, lost or slow call that ended at [now] while [inFlight] calls were in progress. The limit does
     * not fall below [minimum].
     */
    fun onCongestion(inFlight: Int, now: Moment, minimum: Int = 1) {
        if (nextDecrease?.let { now < it } == true) return
        nextDecrease = now + decreaseInterval
        limit = (minOf(limit, inFlight) / 2).coerceAtLeast(minOf(limit, minimum))
    }

    private companion object {
        val DECREASE_INTERVAL = 200.milliseconds
    }
}
