package org.zinniahoist.policy.routes

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RetryAfterPolicyTest {
    /**
     * Guards against a retry that arrives before a leader is elected and is refused again.
     *
     * Load pattern: all processes are killed at once, and clients that have one retry and 2 s send requests before the
     * election.
     */
    @Test
    fun `delays retries past an election as far as clients accept the delay`() {
        val random = Random(1)
        val delays = List(100) { RetryAfterPolicy.after(RefusalCause.NO_CONFIGURATION, 2.seconds, random) }
        expectThat(delays).all {
            isGreaterThan(450.milliseconds)
            isLessThan(667.milliseconds)
        }
    }

    /** Guards against clients that all retry at the same time. */
    @Test
    fun `distributes the retries over time`() {
        val random = Random(1)
        val delays = List(1_000) { RetryAfterPolicy.after(RefusalCause.NO_LEADER, 12.seconds, random) }
        val delaysByBucket = delays.groupBy { it.inWholeMilliseconds / 25 }
        expectThat(delaysByBucket.values.maxOf { it.size }).isLessThan(200)
    }
}
