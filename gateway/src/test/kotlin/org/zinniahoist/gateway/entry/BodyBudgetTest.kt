package org.zinniahoist.gateway.entry

import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.upstream.AnswerMemoryException
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class BodyBudgetTest {
    private val memory = EntryMemory(HEAP_BYTES)
    private val budget = memory.requests

    private fun reserve(bytes: Long): Boolean = budget.newReservation().tryReserve(bytes)

    /** Guards against a few long bodies, all within the limits of clients, that exhaust the heap of an entry. */
    @Test
    fun `of six bodies of 31 MiB at once one is read, beside bodies of the usual size`() {
        expectThat(List(6) { reserve(31 * MIB) }.count { it }).isEqualTo(1)
        expectThat(List(200) { reserve(2 * KIB) }.all { it }).isTrue()
    }

    /** Guards against the same for many bodies of a middle size. */
    @Test
    fun `of thirty bodies of 8 MiB at once those are read that find room, beside bodies of the usual size`() {
        expectThat(List(30) { reserve(8 * MIB) }.count { it }).isEqualTo(5)
        expectThat(List(200) { reserve(2 * KIB) }.all { it }).isTrue()
    }

    /** Guards against bodies without a stated length that are counted after they are held. */
    @Test
    fun `a body that grows is refused once it finds no room, and gives its bytes back`() {
        val growing = budget.newReservation()
        val accepted = (1..100L).takeWhile { growing.tryReserve(it * MIB) }.size
        expectThat(accepted).isEqualTo(40)
        expectThat(reserve(8 * MIB)).isFalse()
        growing.close()
        expectThat(budget.heldBytes).isEqualTo(0)
        expectThat(reserve(8 * MIB)).isTrue()
    }

    /** Guards against a heap that requests and responses exhaust together. */
    @Test
    fun `responses find less room while requests hold much, and the reverse`() {
        val long = budget.newReservation().also { it.tryReserve(32 * MIB) }
        val response = memory.responses.newReservation()
        expectCatching { response.reserve((15 * MIB).toInt()) }.isFailure().isA<AnswerMemoryException>()
        long.close()
        response.reserve((15 * MIB).toInt())
        expectThat(reserve(32 * MIB)).isFalse()
        response.close()
        expectThat(reserve(32 * MIB)).isTrue()
    }

    private companion object {
        const val KIB = 1L shl 10
        const val MIB = 1L shl 20
        const val HEAP_BYTES = 80 * MIB
    }
}
