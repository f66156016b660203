package org.zinniahoist.consensus

import org.zinniahoist.model.Moment
import kotlin.time.Duration

/**
 * Measures the delay of the steps of a replica.
 *
 * A replica whose thread was delayed has not yet processed the messages that arrived in the meantime. Of the time
 * between two steps, at most [tolerance] therefore counts towards time-outs. Measurement begins with the first tick.
 */
internal class StepDelayMeter(private val tolerance: Duration) {
    private var lastStep: Moment? = null
    private var wasLate = false

    /** True if the last step was late and the one before was on time. */
    var isFirstDelayed = false
        private set

    fun onTick(now: Moment) {
        lastStep = now
    }

    /** Returns the part of the time since the last step that exceeds [tolerance]; zero if the step is on time. */
    fun onStep(now: Moment): Duration {
        val since = lastStep ?: return Duration.ZERO
        lastStep = now
        val excess = (now - since - tolerance).coerceAtLeast(Duration.ZERO)
        isFirstDelayed = excess.isPositive() && !wasLate
        wasLate = excess.isPositive()
        return excess
    }
}
