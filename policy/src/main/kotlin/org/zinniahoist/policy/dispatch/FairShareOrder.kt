package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import org.zinniahoist.model.WorkspaceName
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Starts items in order of priority, then of the workspace with the fewest running tokens, then as [DueTimeOrder].
 * Groups that the trainer does not need, because enough others have begun, go last within their workspace.
 *
 * Starvation is bounded: items that have waited for [AGED_WAIT] go before items of higher priority that have not, and
 * items of unneeded groups are no longer last once they have waited for [SURPLUS_WAIT].
 */
internal class FairShareOrder : ItemOrder {
    private val groups = GroupProgress()
    private val running = HashMap<WorkspaceName?, Long>()

    override val runningTokens: Map<WorkspaceName?, Long> get() = running

    override fun visit(waiting: Collection<ItemState>, now: Moment, visit: ItemVisit) {
        if (!visit.mayStartAny()) return
        val first = waiting.firstOrNull() ?: return
        if (waiting.all { it.work.priority == first.work.priority }) return visitBand(waiting, now, visit)
        val bands = waiting.groupBy { bandOf(it, now) }
        for (band in bands.keys.sorted()) {
            visitBand(bands.getValue(band), now, visit)
            if (!visit.mayStartAny()) return
        }
    }

    /** Returns the place of [state] by priority and wait; items with equal values compete by the shares only. */
    private fun bandOf(state: ItemState, now: Moment): Long {
        // Items whose runs break again and again may crash upstreams and would delay those of lower priority each time.
        val priority = if (state.consecutiveEmptyRuns >= SUSPECTED_RUNS) Int.MAX_VALUE else state.work.priority
        return if (state.hasWaited(AGED_WAIT, now)) priority - AGED_OFFSET else priority.toLong()
    }

    private fun ItemState.hasWaited(duration: Duration, now: Moment): Boolean =
        waitingSince?.let { now - it >= duration } == true

    /** Starts [items] of one band, the next one always of the workspace with the smallest share. */
    private fun visitBand(items: Collection<ItemState>, now: Moment, visit: ItemVisit) {
        val cursors = items.groupBy { it.work.workspace }.entries.mapIndexed { number, (workspace, waiting) ->
            Cursor(workspace, number, waiting, now)
        }
        val queue = PriorityQueue(compareBy<Cursor> { it.share }.thenBy { it.number })
        queue += cursors
        while (true) {
            val cursor = queue.poll() ?: return
            if (!cursor.startNext(visit)) continue
            if (!visit.mayStartAny()) return
            cursor.share = running[cursor.workspace] ?: 0
            queue += cursor
        }
    }

    override fun ahead(state: ItemState, waiting: Collection<ItemState>, now: Moment): Int {
        val band = bandOf(state, now)
        val share = running[state.work.workspace] ?: 0
        return waiting.count {
            val other = bandOf(it, now)
            other < band || other == band && (running[it.work.workspace] ?: 0) < share
        }
    }

    override fun onSubmit(work: ItemWork): Unit = groups.onSubmit(work)

    override fun onStart(work: ItemWork) {
        groups.onStart(work)
        running.merge(work.workspace, tokensOf(work), Long::plus)
    }

    override fun onRelease(work: ItemWork) {
        running.computeIfPresent(work.workspace) { _, tokens -> (tokens - tokensOf(work)).takeIf { it > 0 } }
    }

    override fun onRemove(work: ItemWork, isGivenUp: Boolean): Unit = groups.onRemove(work, isGivenUp)

    override fun clear() {
        groups.clear()
        running.clear()
    }

    /** An item without known tokens counts as one, so that its workspace has a share as well. */
    private fun tokensOf(work: ItemWork): Long = (work.promptTokens.toLong() + work.expectedOutput).coerceAtLeast(1)

    /** Walks through the waiting [items] of [workspace], which are sorted by urgency. */
    private inner class Cursor(
        val workspace: WorkspaceName?,
        /** Position of the workspace by its most urgent item, for workspaces with equal shares. */
        val number: Int,
        private val items: List<ItemState>,
        private val now: Moment,
    ) {
        var share = running[workspace] ?: 0
        private var next = 0
        private val surplus = ArrayList<ItemState>(0)
        private var nextSurplus = 0

        /**
         * Starts the next item that can start, or returns false. Items of surplus groups are last; whether a group is
         * one is judged when its turn comes, because the items that start before may begin enough others.
         */
        fun startNext(visit: ItemVisit): Boolean {
            while (next < items.size) {
                val state = items[next++]
                val isDeferred = groups.isSurplus(state.work) && !state.hasWaited(SURPLUS_WAIT, now)
                if (isDeferred) {
                    surplus += state
                } else if (visit.tryStart(state)) {
                    return true
                }
            }
            while (nextSurplus < surplus.size) if (visit.tryStart(surplus[nextSurplus++])) return true
            return false
        }
    }

    private companion object {
        /** Below the 5 s within which an item has to be at an upstream. */
        val AGED_WAIT = 2.seconds

        /** As the number from which the dispatcher suspects an item, so that both treat it alike. */
        val SUSPECTED_RUNS = DispatchOptions().suspicionThreshold

        /** Puts all items that have waited for [AGED_WAIT] before the others. */
        const val AGED_OFFSET = Int.MAX_VALUE.toLong() - Int.MIN_VALUE + 1

        /** Leaves a second of the same 5 s for the next free slot. */
        val SURPLUS_WAIT = 4.seconds
    }
}
