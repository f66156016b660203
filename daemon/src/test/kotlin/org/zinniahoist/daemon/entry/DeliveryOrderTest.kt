package org.zinniahoist.daemon.entry

import org.junit.jupiter.api.Test
import org.zinniahoist.model.AttemptIdentifier
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class DeliveryOrderTest {
    /** Guards against a cursor that skips a sample which was generated early and recorded late. */
    @Test
    fun `assigns positions in the order in which results become deliverable`() {
        val order = DeliveryOrder()
        val recordedFirst = order.positionOf(AttemptIdentifier("drafted-second"))

        val recordedLate = order.positionOf(AttemptIdentifier("drafted-first"))

        expectThat(recordedLate).isGreaterThan(recordedFirst)
        expectThat(order.positionOf(AttemptIdentifier("drafted-second"))).isEqualTo(recordedFirst)
    }

    /** Guards against a reused position, which would make a cursor skip the second sample. */
    @Test
    fun `does not reuse the position of a discarded result`() {
        val order = DeliveryOrder()
        val forgotten = order.positionOf(AttemptIdentifier("first"))
        order.retain(emptySet())

        expectThat(order.positionOf(AttemptIdentifier("second"))).isGreaterThan(forgotten)
    }
}
