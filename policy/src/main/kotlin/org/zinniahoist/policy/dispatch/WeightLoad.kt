package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A load of [version] of [model] on an upstream, from the first request for its report to completion. */
internal class WeightLoad(
    val tracked: TrackedUpstream,
    val model: ModelName,
    val version: WeightVersion,
    var requestedAt: Moment,
) {
    var report: UpstreamReport? = null
    var orderedAt: Moment? = null
    var failedReports = 0
    var isRetry = false

    fun nextReportAt(loadTime: Duration): Moment {
        val ordered = orderedAt ?: return requestedAt + REPORT_INTERVAL
        return maxOf(ordered + loadTime, requestedAt + REPORT_INTERVAL)
    }

    fun retry(newReport: UpstreamReport) {
        report = newReport
        orderedAt = null
        isRetry = true
    }

    private companion object {
        /** Interval between two report requests to an upstream whose load is overdue. */
        val REPORT_INTERVAL = 250.milliseconds
    }
}
