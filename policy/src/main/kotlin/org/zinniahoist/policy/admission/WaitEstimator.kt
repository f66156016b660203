package org.zinniahoist.policy.admission

import kotlin.time.Duration

/** Estimates the queueing delay of a new attempt. */
internal class WaitEstimator {
    var slots = Slots(running = 0, limit = 1)
    private var queuedLive = Duration.ZERO
    private var queuedTraining = Duration.ZERO

    /** Exponentially smoothed ratio of measured to expected engine time. */
    private var engineTimeRatio = 1.0

    fun onQueued(attempt: QueuedAttempt) = addQueuedTime(attempt.origin, attempt.expectedTime)

    fun onRemoved(attempt: QueuedAttempt) = addQueuedTime(attempt.origin, -attempt.expectedTime)

    fun onEnd(attempt: QueuedAttempt, engineTime: Duration) {
        if (attempt.expectedTime <= Duration.ZERO) return
        val ratio = (engineTime / attempt.expectedTime).coerceIn(1 / MAXIMUM_RATIO, MAXIMUM_RATIO)
        engineTimeRatio += SMOOTHING_FACTOR * (ratio - engineTimeRatio)
    }

    fun forLive(): Duration = delayOf(queuedLive)

    /** Estimates the delay behind [workAhead] of queued training work, capped at all queued training work. */
    fun forTraining(workAhead: Duration): Duration = delayOf(queuedLive + minOf(workAhead, queuedTraining))

    private fun delayOf(totalTime: Duration): Duration = totalTime * engineTimeRatio / slots.limit.coerceAtLeast(1)

    private fun addQueuedTime(origin: Origin, time: Duration) {
        when (origin) {
            Origin.Live -> queuedLive += time
            is Origin.Training -> queuedTraining += time
        }
    }

    private companion object {
        const val SMOOTHING_FACTOR = 0.05
        const val MAXIMUM_RATIO = 10.0
    }
}
