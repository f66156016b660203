package org.zinniahoist.gateway.upstream

import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isLessThanOrEqualTo

internal class ResponseMemoryTest {
    private val memory = ResponseMemory(MAXIMUM)

    /** Guards against leaking memory with each aborted response. */
    @Test
    fun `a closed reservation holds nothing`() {
        val reservation = memory.newReservation()
        reservation.reserve(600_000)
        reservation.release(100_000)
        expectThat(memory.heldBytes).isEqualTo(500_000)
        reservation.close()
        reservation.close()
        reservation.release(100_000)
        expectCatching { reservation.reserve(1) }.isFailure().isA<AnswerMemoryException>()
        expectThat(memory.heldBytes).isEqualTo(0)
    }

    /** Guards against a large response that exceeds the free memory, and against a rejection that leaks memory. */
    @Test
    fun `a rejected response reserves nothing`() {
        memory.newReservation().reserve(600_000)
        expectCatching { memory.newReservation().reserve(600_000) }.isFailure().isA<AnswerMemoryException>()
        expectThat(memory.heldBytes).isEqualTo(600_000)
    }

    /** Guards against large responses that starve small ones. */
    @Test
    fun `a small response is accepted while large ones use all memory`() {
        memory.newReservation().reserve(MAXIMUM.toInt())
        val small = memory.newReservation()
        small.reserve(ResponseMemory.SMALL_ANSWER_BYTES.toInt())
        expectCatching { small.reserve(1) }.isFailure().isA<AnswerMemoryException>()
    }

    /** Guards against many concurrent small responses that exhaust the heap. */
    @Test
    fun `the total size of small responses is limited`() {
        repeat(100) {
            val small = memory.newReservation()
            runCatching { small.reserve(ResponseMemory.SMALL_ANSWER_BYTES.toInt()) }
        }
        expectThat(memory.heldBytes).isLessThanOrEqualTo(MAXIMUM + MAXIMUM / 2)
    }

    private companion object {
        const val MAXIMUM = 1_000_000L
    }
}
