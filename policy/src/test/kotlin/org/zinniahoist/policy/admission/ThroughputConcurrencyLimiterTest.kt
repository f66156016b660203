package org.zinniahoist.policy.admission

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ThroughputConcurrencyLimiterTest {
    private val limiter = ThroughputConcurrencyLimiter()
    private var now = Moment.ZERO

    /** Simulates an engine whose decoding step takes 20 ms plus [perAttempt] ms for each running attempt. */
    private fun run(seconds: Int, perAttempt: Double, running: () -> Int) = repeat(seconds) {
        repeat(5) {
            now += 200.milliseconds
            val attempts = running()
            limiter.onTokens((attempts * 200 / (20 + perAttempt * attempts)).toInt(), attempts, now)
        }
    }

    @Nested
    inner class TokenThroughput {
        /** Guards against a limit that underutilizes the engine, or at which further attempts only slow each other. */
        @Test
        fun `sets the limit where further attempts hardly increase the throughput`() {
            run(300, perAttempt = 2.0) { limiter.trainingLimit }

            expectThat(limiter.limit).isIn(70..110)
        }

        /** Guards against a limit that increases while the engine is idle. */
        @Test
        fun `does not raise the limit of an engine that is not saturated`() {
            run(100, perAttempt = 0.5) { 3 + (now.nanoseconds / 200_000_000 % 3).toInt() }

            expectThat(limiter.limit).isLessThanOrEqualTo(16)
        }
    }

    @Nested
    inner class FirstTokens {
        /** Guards against saturated engines that delay live callers. */
        @Test
        fun `increase the slots reserved for live callers while they are slow`() {
            run(100, perAttempt = 0.5) { limiter.trainingLimit }
            val initialTrainingLimit = limiter.trainingLimit
            val limit = limiter.limit
            repeat(10) {
                repeat(10) { limiter.onLiveFirstToken(2.seconds, now) }
                run(1, perAttempt = 0.5) { limiter.trainingLimit }
            }
            val slowTrainingLimit = limiter.trainingLimit
            expectThat(limiter.limit).isGreaterThan(limit - 1)
            repeat(200) {
                repeat(10) { limiter.onLiveFirstToken(100.milliseconds, now) }
                run(1, perAttempt = 0.5) { limiter.trainingLimit }
            }

            expectThat(slowTrainingLimit).isLessThan(initialTrainingLimit / 2)
            expectThat(limiter.trainingLimit).isGreaterThan(slowTrainingLimit * 2)
        }
    }
}
