package org.zinniahoist.policy.sampling

import org.zinniahoist.policy.routing.LoadDigest

/**
 * What the engines can take.
 *
 * @property free slots that a sample may take.
 * @property idle slots that nothing else waits for.
 * @property idlePace tokens per second of one attempt on an engine with idle slots.
 */
public data class SlotSupply(
    public val free: Int,
    public val idle: Int,
    public val idlePace: Double,
)

/**
 * Returns how many more attempts of a trainer an entry may send to a sidecar.
 *
 * A few attempts wait at the sidecar, so that a slot never waits for the entry. What waits at the entry can still be
 * ordered by what is learnt meanwhile. Each trainer may have half of the slots on the way whatever others have, so that
 * the sidecar has something of each to share its slots fairly.
 *
 * @param digest last report of the sidecar.
 * @param own attempts of the trainer in flight to the sidecar.
 * @param ownAtReport attempts of the trainer in flight when the report arrived.
 */
public fun freeSlots(digest: LoadDigest, own: Int, ownAtReport: Int): Int {
    val load = digest.running + digest.waiting + own - ownAtReport
    val share = digest.concurrencyLimit / 2
    return maxOf(digest.concurrencyLimit - load, share - own, -WAITING_AHEAD) + WAITING_AHEAD
}

private const val WAITING_AHEAD = 4
