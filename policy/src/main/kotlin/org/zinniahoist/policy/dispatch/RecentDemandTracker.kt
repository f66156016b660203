package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Demand of the open and recent jobs of a model. */
public data class ModelDemand(
    /** Expected tokens of the jobs that are open or were submitted recently. */
    public val tokens: Long = 0,
    /** Highest minimum weight version of these jobs, or null if there are none. */
    public val minimumVersion: WeightVersion? = null,
)

/** Demand of one job, from which upstreams are assigned to models. */
public data class JobDemand(
    public val job: String,
    public val model: ModelName,
    /** Expected tokens of all items. */
    public val tokens: Long,
    public val minimumVersion: WeightVersion,
)

/**
 * Tracks the demand for each model, by which upstreams are assigned to models. It counts all open jobs and the jobs
 * that were submitted recently, whether their items are finished or not.
 *
 * The demand depends only on the replicated job records, so a new leader assigns the upstreams as its predecessor did.
 * Counting recent jobs lets a model keep its share between two steps of its trainer.
 *
 * @param retention time after its submission for which an ended job still counts.
 */
public class RecentDemandTracker(private val retention: Duration = RETENTION) {
    private val entries = HashMap<String, Entry>()

    /** Number of retained jobs. */
    internal val size: Int get() = entries.size

    /** Adds the job of [work], submitted at [at]. A job that is already known is ignored. */
    public fun onSubmitted(work: JobDemand, at: Moment) {
        evictExpired(at)
        entries.putIfAbsent(work.job, Entry(work, at))
    }

    /** Marks [job] as ended. */
    public fun onEnded(job: String) {
        entries[job]?.isOpen = false
    }

    /** Marks all jobs except those in [open] as ended. */
    public fun retainOpen(open: Set<String>) {
        entries.filterKeys { it !in open }.values.forEach { it.isOpen = false }
    }

    /** Returns the demand of the open and recent jobs of [model] at [now]. */
    public fun demand(model: ModelName, now: Moment): ModelDemand {
        evictExpired(now)
        val present = entries.values.filter { it.work.model == model }
        return ModelDemand(present.sumOf { it.work.tokens }, present.maxOfOrNull { it.work.minimumVersion })
    }

    /** Runs on each submission too: a replica that is not the leader never reads the demand and would leak memory. */
    private fun evictExpired(now: Moment) {
        entries.values.removeIf { !it.isOpen && now - it.submittedAt >= retention }
    }

    private class Entry(
        val work: JobDemand,
        val submittedAt: Moment,
    ) {
        var isOpen = true
    }

    private companion object {
        /** Spans several steps of a trainer, so that the pauses between steps do not cause reassignments. */
        val RETENTION = 10.seconds
    }
}
