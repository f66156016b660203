package org.zinniahoist.policy.sampling

import org.zinniahoist.policy.routing.LoadDigest

/**
 * Available capacity of the engines.
 *
 * @property free number of slots that are free for a sample.
 * @property idle number of slots for which no other work is queued.
 * @property idleTokenRate token rate of one attempt on an engine with idle slots, per second.
 */
public data class SlotSupply(
    public val free: Int,
    public val idle: Int,
    public val idleTokenRate: Double,
)

/**
 * Returns how many more attempts of a trainer an entry may send to a sidecar.
 *
 * Keeps a few attempts queued at the sidecar, so that a free slot does not idle until the entry sends the next attempt.
 * The others stay queued at the entry, where new length estimates can still reorder them. Each trainer may have
 * attempts for half of the slots in flight, regardless of other trainers, because the sidecar can only share its slots
 * fairly between trainers that have attempts queued.
 *
 * @param digest last load report of the sidecar.
 * @param inFlight number of attempts of the trainer in flight to the sidecar.
 * @param inFlightAtReport number of attempts of the trainer in flight when the report arrived.
 */
public fun freeSlots(digest: LoadDigest, inFlight: Int, inFlightAtReport: Int): Int {
    val load = digest.running + digest.waiting + inFlight - inFlightAtReport
    val guaranteedSlots = digest.concurrencyLimit / 2
    return maxOf(digest.concurrencyLimit - load, guaranteedSlots - inFlight, -QUEUED_AT_SIDECAR) + QUEUED_AT_SIDECAR
}

private const val QUEUED_AT_SIDECAR = 4
