package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Chooses the upstream of an item, decides when its run moves, and says why it does not run. */
internal class ItemPlacement(
    private val board: UpstreamBoard,
    private val options: DispatchOptions,
) {
    /** Returns the upstream of [view] on which the item of [state] starts, or null if it has to wait. */
    fun choose(state: ItemState, view: PlacementView): UpstreamCard? {
        if (pausedUntil(state, view.now) != null) return null
        return best(state, view.ready(state.need), view)
    }

    /** Returns the suspended upstream of [view] that the item of [state] may probe, or null. */
    fun chooseProbe(state: ItemState, view: PlacementView): UpstreamCard? {
        if (pausedUntil(state, view.now) != null) return null
        return best(state, view.probes(state.need), view)
    }

    /** The least time to go over the places in use; the same upstream for a group as long as that costs little. */
    private fun best(state: ItemState, candidates: List<UpstreamCard>, view: PlacementView): UpstreamCard? {
        if (candidates.isEmpty()) return null
        return state.avoided.prefer(candidates, view.now)
            .minByOrNull { view.paceOf(it) * (it.listed.slots + it.inFlight) }
    }

    private fun pausedUntil(state: ItemState, now: Moment): Moment? = state.notBefore?.takeIf { now < it }

    private fun candidates(state: ItemState, now: Moment): List<UpstreamCard> =
        board.candidates(state.work.service, now, state.need::isMetBy)

    /**
     * Returns true if the run of [state] has stalled, or is slow while nothing waits and another upstream has room.
     *
     * A run is silent until [readUntil] at most: what arrived later may not have been handled yet.
     */
    fun isToMove(
        state: ItemState,
        isAnyWaiting: Boolean,
        view: PlacementView,
        readUntil: Moment,
    ): Boolean {
        val run = state.run ?: return false
        val now = view.now
        val limit = minOf(options.stallLimit * (1 shl state.moves.coerceAtMost(3)), options.longestStallLimit)
        val card = board.card(run.upstream)
        val allowance = if (card?.isLoading == true) options.loadAllowance else Duration.ZERO
        if (readUntil - run.lastProgress >= limit + allowance) return true
        if (card == null) return false
        if (state.moves > 0 || run.events < 2 || now - run.startedAt < MINIMUM_STAY) return false
        if (view.paceOf(card) < options.slowFactor * view.medianPace) return false
        return !isAnyWaiting && view.ready(state.need).any { it.listed.identity != run.upstream }
    }

    /** Returns why the item of [state] does not run at [now]. */
    fun report(state: ItemState, now: Moment): WaitReport {
        val pausedUntil = pausedUntil(state, now)
        val reason = when {
            pausedUntil != null -> WaitReason.Paused(pausedUntil - now)
            candidates(state, now).isEmpty() -> WaitReason.NoCandidate
            else -> WaitReason.Startable
        }
        val waited = state.waitingSince?.let { now - it } ?: Duration.ZERO
        return WaitReport(state.work.key, waited, reason, countsFor(state, now))
    }

    private fun countsFor(state: ItemState, now: Moment): UpstreamCounts {
        val listed = board.all.filter { it.listed.service == state.work.service }
        val usable = candidates(state, now)
        return UpstreamCounts(
            listed = listed.size,
            usable = usable.size,
            leaving = listed.count { it.listed.isLeaving },
            suspended = listed.count { board.isSuspended(it, now) },
            loading = listed.count { it.isLoading },
            withoutWeights = listed.count { !state.need.hasWeights(it) },
            withoutPlace = listed.count { it.inFlight >= it.listed.slots },
            avoided = usable.count { state.avoided.holds(it, now) },
        )
    }

    private companion object {
        /** Keeps an item from moving before the pace of its upstream is known. */
        val MINIMUM_STAY = 300.milliseconds
    }
}
