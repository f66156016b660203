package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

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
    private val jobs = HashMap<String, Work>()

    /** A job of [tokens] for [model] was handed in at [at]. A job that is known already is left as it is. */
    public fun onSubmitted(
        job: String,
        model: ModelName,
        tokens: Long,
        at: Moment,
    ) {
        jobs.putIfAbsent(job, Work(model, tokens, at))
    }

    /** The job is open no more. */
    public fun onEnded(job: String) {
        jobs[job]?.isOpen = false
    }

    /** All jobs but those of [open] are open no more. */
    public fun retainOpen(open: Set<String>) {
        jobs.filterKeys { it !in open }.values.forEach { it.isOpen = false }
    }

    /** Returns the expected tokens of the work of [model] at [now]. */
    public fun tokens(model: ModelName, now: Moment): Long {
        jobs.values.removeIf { !it.isOpen && now - it.submittedAt >= span }
        return jobs.values.filter { it.model == model }.sumOf { it.tokens }
    }

    private class Work(
        val model: ModelName,
        val tokens: Long,
        val submittedAt: Moment,
    ) {
        var isOpen = true
    }

    private companion object {
        /** Several steps of a trainer, so that the pauses between them move no upstream. */
        val SPAN = 10.seconds
    }
}
