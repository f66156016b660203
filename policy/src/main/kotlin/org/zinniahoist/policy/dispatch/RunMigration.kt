package org.zinniahoist.policy.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Decides whether a run of an item moves to another upstream although it makes progress. */
internal fun interface RunMigration {
    /** Returns true if the run of [state] should move at the time of [view] to one of the upstreams that are ready. */
    fun shouldMigrate(state: ItemState, view: PlacementView): Boolean

    companion object {
        /** Leaves each run where it is as long as it makes progress. */
        val NONE: RunMigration = RunMigration { _, _ -> false }
    }
}

/**
 * Moves runs of long items away from upstreams on which they would finish after their job is due: from upstreams that
 * are slow or load weights to faster ones with a free slot. The run resumes after its last event, so a move costs only
 * the prefill of the prompt and of the text, while a load of weights pauses a run for most of a second.
 *
 * The length of an item is unknown before its end. As many events as an item has so far are taken for those that are
 * still to come, because among items of very unequal lengths those that have run long are mostly the longest ones.
 */
internal class OverdueRunMigration(private val options: MigrationOptions = MigrationOptions()) : RunMigration {
    override fun shouldMigrate(state: ItemState, view: PlacementView): Boolean {
        val run = state.run ?: return false
        val current = view.tracked(run.upstream) ?: return false
        if (run.events < MINIMUM_EVENTS || view.now - run.startedAt < options.minimumRunDuration) return false
        val remaining = state.text.events.size
        val stay = timeOn(current, remaining, view)
        if (view.now + stay + options.reserve < state.work.dueAt) return false
        val others = view.ready(state.constraints).filter { it !== current }
        val fastest = others.minOfOrNull { timeOn(it, remaining, view) } ?: return false
        return stay - fastest > options.moveCost + options.minimumGain
    }

    private fun timeOn(upstream: TrackedUpstream, events: Int, view: PlacementView): Duration {
        val pause = if (upstream.isLoading) options.loadPause else Duration.ZERO
        return (view.eventIntervalOf(upstream) * events).milliseconds + pause
    }

    private companion object {
        /** With one event the pace of the run's upstream may not have been measured since the run began. */
        const val MINIMUM_EVENTS = 2
    }
}

/** Times with which an [OverdueRunMigration] weighs a move. */
internal data class MigrationOptions(
    /** A run may move if it is expected to end less than this before its job is due. */
    val reserve: Duration = 500.milliseconds,
    /** Time without events that a move costs: a new connection, and the prefill of the prompt and of the text. */
    val moveCost: Duration = 100.milliseconds,
    /** Time that a move must save beyond its cost. */
    val minimumGain: Duration = 150.milliseconds,
    /** Expected remaining pause of a run on an upstream that loads weights. */
    val loadPause: Duration = 500.milliseconds,
    /** Time after its start for which a run stays, so that an item does not move back and forth. */
    val minimumRunDuration: Duration = 300.milliseconds,
)
