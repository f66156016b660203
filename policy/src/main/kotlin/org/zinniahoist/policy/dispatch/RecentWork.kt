package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What the jobs of a model ask of the upstreams. */
public data class ModelDemand(
    /** Expected tokens of the jobs that are open or were handed in a short while ago. */
    public val tokens: Long = 0,
    /** Oldest weights that the newest of these jobs allows, or null if there is none. */
    public val minimumVersion: WeightVersion? = null,
)

/** The work of one job, as far as it decides which weights the upstreams hold. */
public data class JobWork(
    public val job: String,
    public val model: ModelName,
    /** Expected tokens of all items. */
    public val tokens: Long,
    public val minimumVersion: WeightVersion,
)

/**
 * The work of each model by which the upstreams are divided: all jobs that are open, and those that were handed in a
 * short while ago, whether their items are finished or not.
 *
 * It follows from the record of the jobs alone, so that each leader divides the upstreams as the one before did, and a
 * model keeps its share between two steps of its trainer.
 *
 * @param span time after its submission for which the work of an ended job counts.
 */
public class RecentWork(private val span: Duration = SPAN) {
    private val entries = HashMap<String, Entry>()

    /** Jobs that are known. */
    internal val size: Int get() = entries.size

    /** The job of [work] was handed in at [at]. A job that is known already is left as it is. */
    public fun onSubmitted(work: JobWork, at: Moment) {
        forgetOld(at)
        entries.putIfAbsent(work.job, Entry(work, at))
    }

    /** The job is open no more. */
    public fun onEnded(job: String) {
        entries[job]?.isOpen = false
    }

    /** All jobs but those of [open] are open no more. */
    public fun retainOpen(open: Set<String>) {
        entries.filterKeys { it !in open }.values.forEach { it.isOpen = false }
    }

    /** Returns what the jobs of [model] ask at [now]. */
    public fun demand(model: ModelName, now: Moment): ModelDemand {
        forgetOld(now)
        val present = entries.values.filter { it.work.model == model }
        return ModelDemand(present.sumOf { it.work.tokens }, present.maxOfOrNull { it.work.minimumVersion })
    }

    /** Also done where nobody asks for the demand, as on a replica that does not lead. */
    private fun forgetOld(now: Moment) {
        entries.values.removeIf { !it.isOpen && now - it.submittedAt >= span }
    }

    private class Entry(
        val work: JobWork,
        val submittedAt: Moment,
    ) {
        var isOpen = true
    }

    private companion object {
        /** Several steps of a trainer, so that the pauses between them move no upstream. */
        val SPAN = 10.seconds
    }
}
