package org.zinniahoist.gateway.core

import org.zinniahoist.model.Moment
import org.zinniahoist.state.service.JobIdentifier
import kotlin.time.Duration

/**
 * Knows since when this replica has known each job, by the steady clock.
 *
 * A job is at least that old, whatever the wall clocks of the replicas say.
 */
internal class JobAges {
    private val learned = HashMap<JobIdentifier, Moment>()

    /** The job is known at [now]. */
    fun learn(job: JobIdentifier, now: Moment) {
        learned.putIfAbsent(job, now)
    }

    /** Returns the time at [now] for which the job has surely been known to the group. */
    fun atLeast(job: JobIdentifier, now: Moment): Duration = now - (learned[job] ?: now)

    /** The job has ended. */
    fun forget(job: JobIdentifier) {
        learned.remove(job)
    }

    /** Forgets all but [jobs]. */
    fun retain(jobs: Set<JobIdentifier>) {
        learned.keys.retainAll(jobs)
    }
}
