package org.zinniahoist.gateway.upstream

import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isLessThanOrEqualTo

internal class AnswerMemoryTest {
    private val memory = AnswerMemory(MAXIMUM)

    /** Guards against room that is lost for good with each answer that is given up. */
    @Test
    fun `a closed share holds nothing`() {
        val share = memory.share()
        share.add(600_000)
        share.remove(100_000)
        expectThat(memory.heldBytes).isEqualTo(500_000)
        share.close()
        share.close()
        share.remove(100_000)
        expectCatching { share.add(1) }.isFailure().isA<AnswerMemoryException>()
        expectThat(memory.heldBytes).isEqualTo(0)
    }

    /** Guards against a large answer that takes more than what is left, and against room that its refusal takes. */
    @Test
    fun `an answer that has no room takes none`() {
        memory.share().add(600_000)
        expectCatching { memory.share().add(600_000) }.isFailure().isA<AnswerMemoryException>()
        expectThat(memory.heldBytes).isEqualTo(600_000)
    }

    /** Guards against small answers that fail because of large ones. */
    @Test
    fun `a small answer has room while large ones take all`() {
        memory.share().add(MAXIMUM.toInt())
        val small = memory.share()
        small.add(AnswerMemory.ALWAYS_HELD_BYTES.toInt())
        expectCatching { small.add(1) }.isFailure().isA<AnswerMemoryException>()
    }

    /** Guards against many small answers at once that together fill the memory of the process. */
    @Test
    fun `small answers together have a bound`() {
        repeat(100) {
            val small = memory.share()
            runCatching { small.add(AnswerMemory.ALWAYS_HELD_BYTES.toInt()) }
        }
        expectThat(memory.heldBytes).isLessThanOrEqualTo(MAXIMUM + MAXIMUM / 2)
    }

    private companion object {
        const val MAXIMUM = 1_000_000L
    }
}
