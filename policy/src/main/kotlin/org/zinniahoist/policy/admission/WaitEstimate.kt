package org.zinniahoist.policy.admission

import kotlin.time.Duration

/** Expects the time until a new attempt gets a slot. */
internal class WaitEstimate {
    var slots = Slots(running = 0, limit = 1)
    private var queuedLive = Duration.ZERO
    private var queuedTraining = Duration.ZERO

    /** Measured engine time divided by the expected engine time. */
    private var timeFactor = 1.0

    fun onQueued(attempt: QueuedAttempt) = add(attempt.origin, attempt.expectedTime)

    fun onRemoved(attempt: QueuedAttempt) = add(attempt.origin, -attempt.expectedTime)

    fun onEnd(attempt: QueuedAttempt, engineTime: Duration) {
        if (attempt.expectedTime <= Duration.ZERO) return
        val factor = (engineTime / attempt.expectedTime).coerceIn(1 / MAXIMUM_FACTOR, MAXIMUM_FACTOR)
        timeFactor += SMOOTHING * (factor - timeFactor)
    }

    fun forLive(): Duration = spread(queuedLive)

    /** Returns the wait behind [ahead], but not more than behind the whole queue. */
    fun forTraining(ahead: Duration): Duration = spread(queuedLive + minOf(ahead, queuedTraining))

    private fun spread(work: Duration): Duration = work * timeFactor / slots.limit.coerceAtLeast(1)

    private fun add(origin: Origin, time: Duration) {
        when (origin) {
            Origin.Live -> queuedLive += time
            is Origin.Training -> queuedTraining += time
        }
    }

    private companion object {
        const val SMOOTHING = 0.05
        const val MAXIMUM_FACTOR = 10.0
    }
}
