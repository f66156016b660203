package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Chooses the upstream of an item, decides when its run moves, and says why it does not run. */
internal class ItemPlacement(
    private val board: UpstreamBoard,
    private val options: DispatchOptions,
) {
    /** Returns the upstream on which the item of [state] starts at [now], or null if it has to wait. */
    fun choose(state: ItemState, now: Moment): UpstreamCard? {
        if (pausedUntil(state, now) != null) return null
        return best(state, board.ready(state.work.service, now, able(state)), now)
    }

    /** Returns the suspended upstream that the item of [state] may probe at [now], or null. */
    fun chooseProbe(state: ItemState, now: Moment): UpstreamCard? {
        if (pausedUntil(state, now) != null) return null
        return best(state, board.probes(state.work.service, now, able(state)), now)
    }

    private fun able(state: ItemState): (UpstreamCard) -> Boolean = { canRun(it, state.work) }

    /** The least time to go over the places in use; the same upstream for a group as long as that costs little. */
    private fun best(state: ItemState, candidates: List<UpstreamCard>, now: Moment): UpstreamCard? =
        state.avoided.prefer(candidates, now)
            .minByOrNull { board.paceOf(it) * (it.listed.slots + it.inFlight) }

    private fun pausedUntil(state: ItemState, now: Moment): Moment? = state.notBefore?.takeIf { now < it }

    private fun candidates(work: ItemWork, now: Moment): List<UpstreamCard> =
        board.candidates(work.service, now) { canRun(it, work) }

    private fun canRun(card: UpstreamCard, work: ItemWork): Boolean =
        card.inFlight < card.listed.slots && !card.isLoading && hasWeights(card, work.terms)

    private fun hasWeights(card: UpstreamCard, terms: DraftTerms?): Boolean {
        if (terms == null) return true
        val version = card.version(terms.model) ?: return false
        return version >= terms.minimumVersion
    }

    /**
     * Returns true if the run of [state] has stalled, or is slow while nothing waits and another upstream has room.
     *
     * A run is silent until [readUntil] at most: what arrived later may not have been handled yet.
     */
    fun isToMove(
        state: ItemState,
        isAnyWaiting: Boolean,
        now: Moment,
        readUntil: Moment,
    ): Boolean {
        val run = state.run ?: return false
        val limit = minOf(options.stallLimit * (1 shl state.moves.coerceAtMost(3)), options.longestStallLimit)
        val card = board.card(run.upstream)
        val allowance = if (card?.isLoading == true) options.loadAllowance else Duration.ZERO
        if (readUntil - run.lastProgress >= limit + allowance) return true
        if (card == null) return false
        if (state.moves > 0 || run.events < 2 || now - run.startedAt < MINIMUM_STAY) return false
        if (board.paceOf(card) < options.slowFactor * board.medianPace()) return false
        return !isAnyWaiting && hasAlternative(state.work, run.upstream, now)
    }

    private fun hasAlternative(work: ItemWork, present: UpstreamIdentity, now: Moment): Boolean =
        board.usable(work.service, now).any { it.listed.identity != present && canRun(it, work) }

    /** Returns why the item of [state] does not run at [now]. */
    fun report(state: ItemState, now: Moment): WaitReport {
        val pausedUntil = pausedUntil(state, now)
        val reason = when {
            pausedUntil != null -> WaitReason.Paused(pausedUntil - now)
            candidates(state.work, now).isEmpty() -> WaitReason.NoCandidate
            else -> WaitReason.Startable
        }
        val waited = state.waitingSince?.let { now - it } ?: Duration.ZERO
        return WaitReport(state.work.key, waited, reason, countsFor(state, now))
    }

    private fun countsFor(state: ItemState, now: Moment): UpstreamCounts {
        val work = state.work
        val listed = board.all.filter { it.listed.service == work.service }
        val usable = candidates(work, now)
        return UpstreamCounts(
            listed = listed.size,
            usable = usable.size,
            leaving = listed.count { it.listed.isLeaving },
            suspended = listed.count { board.isSuspended(it, now) },
            loading = listed.count { it.isLoading },
            withoutWeights = listed.count { !hasWeights(it, work.terms) },
            withoutPlace = listed.count { it.inFlight >= it.listed.slots },
            avoided = usable.count { state.avoided.holds(it, now) },
        )
    }

    private companion object {
        /** Keeps an item from moving before the pace of its upstream is known. */
        val MINIMUM_STAY = 300.milliseconds
    }
}
