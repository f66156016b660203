package org.zinniahoist.daemon.entry

import org.junit.jupiter.api.Test
import org.zinniahoist.model.AttemptIdentifier
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class DeliveryOrderTest {
    /** Guards against a cursor that passes over a sample which was drafted early and recorded late. */
    @Test
    fun `numbers results as they become deliverable`() {
        val order = DeliveryOrder()
        val recordedFirst = order.positionOf(AttemptIdentifier("drafted-second"))

        val recordedLate = order.positionOf(AttemptIdentifier("drafted-first"))

        expectThat(recordedLate).isGreaterThan(recordedFirst)
        expectThat(order.positionOf(AttemptIdentifier("drafted-second"))).isEqualTo(recordedFirst)
    }

    /** Guards against a position that is given twice, which a cursor would take for one sample. */
    @Test
    fun `never gives the position of a forgotten result again`() {
        val order = DeliveryOrder()
        val forgotten = order.positionOf(AttemptIdentifier("first"))
        order.retain(emptySet())

        expectThat(order.positionOf(AttemptIdentifier("second"))).isGreaterThan(forgotten)
    }
}
