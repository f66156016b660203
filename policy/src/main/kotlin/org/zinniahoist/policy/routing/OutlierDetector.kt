package org.zinniahoist.policy.routing

import org.zinniahoist.model.Moment
import kotlin.time.Duration

/** Detects from its outcomes whether one upstream is an outlier, and tracks its ejection. */
internal class OutlierDetector(private val settings: EjectionSettings) {
    var ejectedUntil: Moment? = null
        private set
    private var consecutiveFailures = 0
    private var outcomes = 0
    private var failureRate = 0.0
    private var ejections = 0

    val isOutlier: Boolean
        get() = consecutiveFailures >= settings.consecutiveFailures ||
            (outcomes >= MINIMUM_OUTCOMES_FOR_RATE && failureRate >= settings.failureRate)

    fun record(failed: Boolean) {
        outcomes += 1
        failureRate += SMOOTHING_FACTOR * ((if (failed) 1.0 else 0.0) - failureRate)
        if (failed) {
            consecutiveFailures += 1
        } else {
            consecutiveFailures = 0
            if (failureRate < settings.failureRate / 2) ejections = 0
        }
    }

    fun eject(now: Moment): Moment {
        val factor = 1 shl ejections.coerceAtMost(MAXIMUM_DOUBLINGS)
        val duration: Duration = minOf(settings.duration * factor, settings.maximumDuration)
        ejections += 1
        return (now + duration).also { ejectedUntil = it }
    }

    /** Ends the ejection. The next failure ejects the upstream again, unless a success precedes it. */
    fun release() {
        ejectedUntil = null
        consecutiveFailures = settings.consecutiveFailures - 1
        outcomes = 0
        failureRate = 0.0
    }

    private companion object {
        const val MINIMUM_OUTCOMES_FOR_RATE = 10
        const val SMOOTHING_FACTOR = 0.1
        const val MAXIMUM_DOUBLINGS = 16
    }
}
