package org.zinniahoist.gateway.core

import org.zinniahoist.model.Moment
import org.zinniahoist.state.service.JobIdentifier
import kotlin.time.Duration

/**
 * Tracks when this replica first observed each job, on the monotonic clock.
 *
 * The time since then is a lower bound of the job's age that does not depend on the replicas' wall clocks.
 */
internal class JobAgeTracker {
    private val firstObserved = HashMap<JobIdentifier, Moment>()

    /** Records that [job] was observed at [now]; later observations are ignored. */
    fun observe(job: JobIdentifier, now: Moment) {
        firstObserved.putIfAbsent(job, now)
    }

    /** Returns a lower bound of the age of [job] at [now]; zero for an unknown job. */
    fun minimumAge(job: JobIdentifier, now: Moment): Duration = now - (firstObserved[job] ?: now)

    /** Removes [job], which has ended. */
    fun remove(job: JobIdentifier) {
        firstObserved.remove(job)
    }

    /** Removes all jobs except [jobs]. */
    fun retain(jobs: Set<JobIdentifier>) {
        firstObserved.keys.retainAll(jobs)
    }
}
