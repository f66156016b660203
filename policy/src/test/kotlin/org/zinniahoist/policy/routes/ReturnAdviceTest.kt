package org.zinniahoist.policy.routes

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ReturnAdviceTest {
    /**
     * Load pattern: all processes are killed at once, and clients with one retry and 2 s arrive before the election.
     * Guards against a return that comes before the leader, is refused again and is the client's last.
     */
    @Test
    fun `waits for an election as long as clients heed the advice`() {
        val random = Random(1)
        val advised = List(100) { ReturnAdvice.after(RefusalCause.NO_CONFIGURATION, 2.seconds, random) }
        expectThat(advised).all {
            isGreaterThan(450.milliseconds)
            isLessThan(667.milliseconds)
        }
    }

    /** Guards against a wave of clients that all come back at the same moment. */
    @Test
    fun `spreads the returns`() {
        val random = Random(1)
        val advised = List(1_000) { ReturnAdvice.after(RefusalCause.NO_LEADER, 12.seconds, random) }
        val perTenth = advised.groupBy { it.inWholeMilliseconds / 25 }
        expectThat(perTenth.values.maxOf { it.size }).isLessThan(200)
    }
}
