package org.zinniahoist.policy.sampling

import org.zinniahoist.model.Moment
import kotlin.time.DurationUnit

/** Running attempt of a sample. */
internal class RunningAttempt(
    val number: Int,
    val startedAt: Moment,
) {
    var tokens = 0

    /** Returns the mean number of tokens per second since the start, which drops while an attempt makes no progress. */
    fun tokenRate(now: Moment): Double {
        val seconds = (now - startedAt).toDouble(DurationUnit.SECONDS)
        return if (seconds > 0) tokens / seconds else 0.0
    }
}

/** A sample with at least one attempt in flight. */
internal class RunningSample(val planned: PlannedSample) {
    val attempts = ArrayList<RunningAttempt>(1)
    var reservedTokens = 0.0

    fun attempt(number: Int): RunningAttempt? = attempts.find { it.number == number }
}
