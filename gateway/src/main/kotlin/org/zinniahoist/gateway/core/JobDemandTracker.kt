package org.zinniahoist.gateway.core

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.JobDemand
import org.zinniahoist.policy.dispatch.ModelDemand
import org.zinniahoist.policy.dispatch.RecentDemandTracker
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks the upstream capacity that recent jobs require. Runs on every replica, so that a new leader knows the demand.
 * All functions run on the engine thread.
 */
internal class JobDemandTracker(private val wallMilliseconds: () -> Long) {
    private val recentWork = RecentDemandTracker()

    /** Handles a job that was accepted, has ended, or was found in the replicated state at start-up. */
    fun onJob(record: JobRecord, now: Moment) {
        val job = record.job
        val step = job.step ?: return
        val age = (wallMilliseconds() - record.submittedMilliseconds).milliseconds.coerceAtLeast(Duration.ZERO)
        val work = JobDemand(job.identifier.value, step.model, job.expectedTokens, step.minimumVersion)
        recentWork.onSubmitted(work, now - age)
        if (record.isEnded) recentWork.onEnded(job.identifier.value)
    }

    /** Marks all jobs except [open] as ended. */
    fun retainOpen(open: Set<JobIdentifier>): Unit = recentWork.retainOpen(open.mapTo(HashSet()) { it.value })

    /** Returns the demand of the jobs of [model] at [now]. */
    fun of(model: ModelName, now: Moment): ModelDemand = recentWork.demand(model, now)
}
