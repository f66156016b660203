package org.zinniahoist.daemon.entry

import org.zinniahoist.model.AttemptIdentifier

/**
 * Assigns increasing positions to results in the order in which they become deliverable.
 *
 * The ledger may record results in a different order than they were generated. A cursor over the generation order
 * would skip results that are recorded late.
 */
internal class DeliveryOrder {
    private val positions = HashMap<AttemptIdentifier, Long>()
    private var last = 0L

    /** Returns the position of [attempt]. A new attempt gets a position above all positions assigned before. */
    fun positionOf(attempt: AttemptIdentifier): Long = positions.getOrPut(attempt) { ++last }

    /** Discards the positions of all attempts except [attempts]. Discarded positions are not reused. */
    fun retain(attempts: Set<AttemptIdentifier>) {
        positions.keys.retainAll(attempts)
    }
}
