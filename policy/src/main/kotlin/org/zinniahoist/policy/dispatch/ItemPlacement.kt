package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Chooses the upstream of an item, decides when a run moves to another one, and reports why an item waits. */
internal class ItemPlacement(
    private val registry: UpstreamRegistry,
    private val options: DispatchOptions,
) {
    private val fit: UpstreamFit = when (options.placement) {
        PlacementKind.SLOTS -> SlotFit
        PlacementKind.MEMORY -> MemoryFit(registry)
    }

    /** Returns the upstreams on which items may be placed at [now]. */
    fun view(now: Moment): PlacementView = PlacementView(registry, now, fit)

    /** Returns the upstream of [view] on which the item of [state] starts, or null if the item has to wait. */
    fun choose(state: ItemState, view: PlacementView): TrackedUpstream? {
        if (pausedUntil(state, view.now) != null) return null
        val ready = view.ready(state.constraints)
        if (ready.isEmpty()) return null
        if (view.largestRoom(state.constraints) < state.heldTokens) {
            reserveRoom(state, ready, view)
            return null
        }
        val fitting = ready.filter { fit.room(it) >= state.heldTokens }
        return fit.choose(state.avoided.prefer(fitting, view.now), view)
    }

    /**
     * Keeps the upstream with the most room free for the item of [state] if it has waited for long. Otherwise smaller
     * items, which fit sooner, would take the room each time.
     */
    private fun reserveRoom(state: ItemState, ready: List<TrackedUpstream>, view: PlacementView) {
        if (view.reserved != null ||
            state.waitingSince?.let { view.now - it < options.reservationDelay } != false
        ) {
            return
        }
        ready.maxByOrNull { fit.room(it) }?.let(view::reserve)
    }

    /** Returns the suspended upstream of [view] that the item of [state] may probe, or null. */
    fun chooseProbe(state: ItemState, view: PlacementView): TrackedUpstream? {
        if (pausedUntil(state, view.now) != null) return null
        val candidates = view.probes(state.constraints)
        if (candidates.isEmpty()) return null
        // A probed upstream has no runs, so that any item fits.
        return SlotFit.choose(state.avoided.prefer(candidates, view.now), view)
    }

    private fun pausedUntil(state: ItemState, now: Moment): Moment? = state.notBefore?.takeIf { now < it }

    private fun candidates(state: ItemState, now: Moment): List<TrackedUpstream> =
        registry.candidates(state.work.service, now, state.constraints::areMetBy)

    /**
     * Returns true if the run of [state] has stalled, or is slow while no item waits and another upstream has a free
     * slot.
     *
     * The time without events is measured up to [readUntil], because input that arrived later may still be unhandled.
     */
    fun shouldMove(
        state: ItemState,
        isAnyWaiting: Boolean,
        view: PlacementView,
        readUntil: Moment,
    ): Boolean {
        val run = state.run ?: return false
        val now = view.now
        val limit = minOf(options.stallTimeout * (1 shl state.moves.coerceAtMost(3)), options.maximumStallTimeout)
        val tracked = registry.tracked(run.upstream)
        val allowance = if (tracked?.isLoading == true) options.loadStallAllowance else Duration.ZERO
        if (readUntil - run.lastProgress >= limit + allowance) return true
        if (tracked == null) return false
        if (state.moves > 0 || run.events < 2 || now - run.startedAt < MINIMUM_RUN_DURATION) return false
        if (view.eventIntervalOf(tracked) < options.slowStreamFactor * view.medianEventInterval) return false
        return !isAnyWaiting &&
            view.ready(state.constraints).any {
                it.listed.identity != run.upstream && fit.room(it) >= state.heldTokens
            }
    }

    /** Reports why the item of [state] does not run at [now], where [ahead] items of other classes go before it. */
    fun report(state: ItemState, now: Moment, ahead: Int): WaitReport {
        val pausedUntil = pausedUntil(state, now)
        val reason = when {
            pausedUntil != null -> WaitReason.Paused(pausedUntil - now)
            candidates(state, now).isEmpty() ->
                if (ahead > 0 && isSlotAwaited(state, now)) WaitReason.Share(ahead) else WaitReason.NoCandidate
            candidates(state, now).none { fit.room(it) >= state.heldTokens } -> WaitReason.NoMemory(state.heldTokens)
            else -> WaitReason.Startable
        }
        val waited = state.waitingSince?.let { now - it } ?: Duration.ZERO
        return WaitReport(state.work.key, waited, reason, upstreamCounts(state, now))
    }

    /** Returns true if an upstream could run the item of [state] as soon as one of its runs ends. */
    private fun isSlotAwaited(state: ItemState, now: Moment): Boolean = registry.usable(state.work.service, now).any {
        it.inFlight >= it.listed.slots && !it.isLoading && state.constraints.hasWeights(it)
    }

    private fun upstreamCounts(state: ItemState, now: Moment): UpstreamCounts {
        val listed = registry.all.filter { it.listed.service == state.work.service }
        val usable = candidates(state, now)
        return UpstreamCounts(
            listed = listed.size,
            usable = usable.size,
            leaving = listed.count { it.listed.isLeaving },
            suspended = listed.count { registry.isSuspended(it, now) },
            loading = listed.count { it.isLoading },
            withoutWeights = listed.count { !state.constraints.hasWeights(it) },
            withoutFreeSlot = listed.count { it.inFlight >= it.listed.slots },
            avoided = usable.count { state.avoided.isAvoided(it, now) },
        )
    }

    private companion object {
        /** Prevents a move before the event interval of the upstream has been measured. */
        val MINIMUM_RUN_DURATION = 300.milliseconds
    }
}
