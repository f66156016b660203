package org.zinniahoist.consensus

import org.zinniahoist.model.Moment
import kotlin.time.Duration

/**
 * Measures how late the steps of a replica are.
 *
 * A replica that was held up has not read what arrived meanwhile. So of the time between two steps only [counted] is
 * silence of others. Steps follow each other from the first tick on.
 */
internal class StepLateness(private val counted: Duration) {
    private var lastStep: Moment? = null
    private var wasLate = false

    /** True if the step is late and the one before was in time. */
    var isFirst = false
        private set

    fun onTick(now: Moment) {
        lastStep = now
    }

    /** Returns how much of the time since the last step is not to be counted; zero if the step is in time. */
    fun onStep(now: Moment): Duration {
        val since = lastStep ?: return Duration.ZERO
        lastStep = now
        val late = (now - since - counted).coerceAtLeast(Duration.ZERO)
        isFirst = late.isPositive() && !wasLate
        wasLate = late.isPositive()
        return late
    }
}
