package org.zinniahoist.policy.dispatch

/** Decides which upstreams have capacity for an item, and which of them it prefers. */
internal interface UpstreamFit {
    /** Returns the number of tokens that a further run on [tracked] may hold. */
    fun room(tracked: TrackedUpstream): Long

    /** Returns the preferred upstream among [candidates], all of which have room, or null if there are none. */
    fun choose(candidates: List<TrackedUpstream>, view: PlacementView): TrackedUpstream?
}

/** Places a run wherever a slot is free, on the upstream with the least load for its event interval. */
internal object SlotFit : UpstreamFit {
    override fun room(tracked: TrackedUpstream): Long = Long.MAX_VALUE

    override fun choose(candidates: List<TrackedUpstream>, view: PlacementView): TrackedUpstream? =
        candidates.minByOrNull { view.eventIntervalOf(it) * (it.listed.slots + it.inFlight) }
}

/**
 * Places a run where its expected tokens fit into the memory, away from prompts that are still being read.
 *
 * An engine reads prompts in chunks between the tokens of its running requests, so a long prompt delays the first token
 * of all that start after it. Among upstreams that are about as good as the best one, a run therefore starts on the one
 * with the fewest prompt tokens to read.
 *
 * Event intervals of the last moments replace the slower mean of [SlotFit], because some upstreams are slow for some
 * hundred milliseconds only and would otherwise be avoided long after.
 */
internal class MemoryFit(private val registry: UpstreamRegistry) : UpstreamFit {
    /** An upstream without runs has room for any item, because an item that exceeds the memory fits nowhere else. */
    override fun room(tracked: TrackedUpstream): Long {
        val memory = registry.engineMemory[tracked.listed.service] ?: return Long.MAX_VALUE
        if (tracked.inFlight == 0) return Long.MAX_VALUE
        return (memory * USABLE_MEMORY).toLong() - tracked.load.heldTokens
    }

    override fun choose(candidates: List<TrackedUpstream>, view: PlacementView): TrackedUpstream? {
        val best = candidates.minOfOrNull { score(it, view) } ?: return null
        return candidates.filter { score(it, view) <= best * EQUALLY_GOOD }
            .minWithOrNull(compareBy({ it.load.pendingPrefill }, { score(it, view) }))
    }

    private fun score(tracked: TrackedUpstream, view: PlacementView): Double =
        view.recentIntervalOf(tracked) * (tracked.listed.slots + tracked.inFlight)

    private companion object {
        /** The rest is left to texts that become longer than expected. */
        const val USABLE_MEMORY = 0.9

        /** A difference of two runs among eight slots is less than the effect of a long prompt that is still read. */
        const val EQUALLY_GOOD = 1.25
    }
}
