package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import kotlin.time.Duration

/** Queues items again whose run has ended without a result, and records what the end says about the upstream. */
internal class ItemRetries(
    private val table: ItemTable,
    private val registry: UpstreamRegistry,
    private val options: DispatchOptions,
) {
    /** Queues the item of [state] again, with the back-off of a refusal after [now]. */
    fun later(state: ItemState, now: Moment): Unit = table.requeue(state, now + options.refusalBackoff)

    /** Queues the item of [state] again after the upstream of [run] refused it. */
    fun onRefused(state: ItemState, run: RunState, now: Moment) {
        registry.onRefusal(run.upstream, now, options.refusalBackoff)
        state.avoided.add(run.upstream, now)
        later(state, now)
    }

    /** Queues the item of [state] again, whose [run] reached another upstream than the intended one. */
    fun onMisdirected(state: ItemState, run: RunState, now: Moment) {
        registry.onAbsence(run.upstream, run.startedAt, now)
        state.avoided.add(run.upstream, now)
        table.requeue(state, notBefore = null)
    }

    /** Queues the item of [state] again after [run] broke with [end]; discards its text if that is not sound. */
    fun onBroken(
        state: ItemState,
        run: RunState,
        end: RunEnd.Broken,
        now: Moment,
    ) {
        if (!end.isTextSound) {
            state.text = ItemText()
            registry.onFailure(run.upstream, now)
        }
        onBroken(state, run, now)
    }

    /** Queues the item of [state] again after [run] broke or was aborted as stalled. */
    fun onBroken(state: ItemState, run: RunState, now: Moment) {
        if (run.events == 0) {
            state.consecutiveEmptyRuns++
            registry.onFailure(run.upstream, now)
        }
        state.avoided.add(run.upstream, now)
        table.requeue(state, suspicionBackoff(state.consecutiveEmptyRuns)?.let { now + it })
    }

    /** Returns the back-off after [consecutiveEmptyRuns] runs without an event, or null below the threshold. */
    private fun suspicionBackoff(consecutiveEmptyRuns: Int): Duration? {
        val doublings = consecutiveEmptyRuns - options.suspicionThreshold
        if (doublings < 0) return null
        val pause = options.suspicionBackoff * (1 shl doublings.coerceAtMost(MAXIMUM_DOUBLINGS))
        return minOf(pause, options.maximumSuspicionBackoff)
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 5
    }
}
