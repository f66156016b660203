package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An order to load weights of [model] on one upstream, from the question for its report to its end. */
internal class WeightLoad(
    val card: UpstreamCard,
    val model: ModelName,
    val version: WeightVersion,
    var askedAt: Moment,
) {
    var report: UpstreamReport? = null
    var orderedAt: Moment? = null
    var misses = 0
    var isRepeated = false

    fun nextQuestion(loadTime: Duration): Moment {
        val ordered = orderedAt ?: return askedAt + QUESTION_INTERVAL
        return maxOf(ordered + loadTime, askedAt + QUESTION_INTERVAL)
    }

    fun restart(newReport: UpstreamReport) {
        report = newReport
        orderedAt = null
        isRepeated = true
    }

    private companion object {
        /** Time between two questions to an upstream that should have finished. */
        val QUESTION_INTERVAL = 250.milliseconds
    }
}
