package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import kotlin.math.exp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Event interval of an upstream over the last few hundred milliseconds.
 *
 * Unlike a mean over a number of events, it follows an upstream with a single run as fast as one with many, and is
 * forgotten once the upstream has had no event for a while.
 */
internal class RecentEventInterval {
    private var milliseconds = 0.0
    private var recordedAt: Moment? = null

    /** Records an [interval] in milliseconds between two events of a run, the latter of them [at]. */
    fun record(interval: Double, at: Moment) {
        val before = recordedAt?.takeIf { at - it < RETENTION }
        val elapsed = if (before == null) interval else (at - before).toDouble(DurationUnit.MILLISECONDS)
        val weight = if (before == null) 1.0 else 1.0 - exp(-elapsed.coerceAtLeast(MINIMUM_ELAPSED) / TIME_CONSTANT)
        milliseconds += weight * (interval - milliseconds)
        recordedAt = maxOf(at, recordedAt ?: at)
    }

    /** Returns the event interval in milliseconds at [now], or null if no event is recent enough. */
    fun at(now: Moment): Double? = milliseconds.takeIf { recordedAt?.let { now - it < RETENTION } == true }

    private companion object {
        /** Some episodes of slowness last only 600 ms; two intervals of usual length pass within this time. */
        const val TIME_CONSTANT = 100.0

        /** Weight of events that are handled in one batch, in milliseconds. */
        const val MINIMUM_ELAPSED = 5.0

        /** An upstream that was slow this long ago is as likely to be slow now as any other. */
        val RETENTION = 600.milliseconds
    }
}
