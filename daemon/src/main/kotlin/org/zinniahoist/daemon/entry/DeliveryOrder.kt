package org.zinniahoist.daemon.entry

import org.zinniahoist.model.AttemptIdentifier

/**
 * Numbers results in the order in which they first become deliverable.
 *
 * Results are recorded in the ledger in another order than they are drafted in. A cursor over the order of drafting
 * would pass over results that are recorded late.
 */
internal class DeliveryOrder {
    private val positions = HashMap<AttemptIdentifier, Long>()
    private var last = 0L

    /** Returns the position of [attempt], which is above the positions of all attempts that were asked for earlier. */
    fun positionOf(attempt: AttemptIdentifier): Long = positions.getOrPut(attempt) { ++last }

    /** Forgets the positions of all attempts but [attempts]. */
    fun retain(attempts: Set<AttemptIdentifier>) {
        positions.keys.retainAll(attempts)
    }
}
