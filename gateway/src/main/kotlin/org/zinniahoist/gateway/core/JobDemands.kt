package org.zinniahoist.gateway.core

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.JobWork
import org.zinniahoist.policy.dispatch.ModelDemand
import org.zinniahoist.policy.dispatch.RecentWork
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Follows the record of the jobs, on each replica, for what they ask of the upstreams. All functions run on the
 * engine's thread.
 */
internal class JobDemands(private val wallMilliseconds: () -> Long) {
    private val recentWork = RecentWork()

    /** A job was accepted or ended, or was found in the record when this replica started. */
    fun onJob(record: JobRecord, now: Moment) {
        val job = record.job
        val step = job.step ?: return
        val age = (wallMilliseconds() - record.submittedMilliseconds).milliseconds.coerceAtLeast(Duration.ZERO)
        val work = JobWork(job.identifier.value, step.model, job.expectedTokens, step.minimumVersion)
        recentWork.onSubmitted(work, now - age)
        if (record.isEnded) recentWork.onEnded(job.identifier.value)
    }

    /** All jobs but those of [open] are open no more. */
    fun retainOpen(open: Set<JobIdentifier>): Unit = recentWork.retainOpen(open.mapTo(HashSet()) { it.value })

    /** Returns what the jobs of [model] ask at [now]. */
    fun of(model: ModelName, now: Moment): ModelDemand = recentWork.demand(model, now)
}
