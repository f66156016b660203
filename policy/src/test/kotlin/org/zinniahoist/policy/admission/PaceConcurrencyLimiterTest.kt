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

class PaceConcurrencyLimiterTest {
    private val limiter = PaceConcurrencyLimiter()
    private var now = Moment.ZERO

    /** An engine whose token step takes 20 ms and [perAttempt] ms more for each attempt. */
    private fun run(seconds: Int, perAttempt: Double, running: () -> Int) = repeat(seconds) {
        repeat(5) {
            now += 200.milliseconds
            val attempts = running()
            limiter.onTokens((attempts * 200 / (20 + perAttempt * attempts)).toInt(), attempts, now)
        }
    }

    @Nested
    inner class TokenPace {
        /** Guards against a limit that leaves an engine half empty or adds attempts that only slow each other down. */
        @Test
        fun `sets the limit where more attempts add little`() {
            run(300, perAttempt = 2.0) { limiter.trainingLimit }

            expectThat(limiter.limit).isIn(70..110)
        }

        /** Guards against a limit that grows on an engine without work. */
        @Test
        fun `does not raise the limit of an engine that is not full`() {
            run(100, perAttempt = 0.5) { 3 + (now.nanoseconds / 200_000_000 % 3).toInt() }

            expectThat(limiter.limit).isLessThanOrEqualTo(16)
        }
    }

    @Nested
    inner class FirstTokens {
        /** Guards against full engines that delay live callers. */
        @Test
        fun `keep more slots free for live callers while they are slow`() {
            run(100, perAttempt = 0.5) { limiter.trainingLimit }
            val before = limiter.trainingLimit
            val limit = limiter.limit
            repeat(10) {
                repeat(10) { limiter.onLiveFirstToken(2.seconds, now) }
                run(1, perAttempt = 0.5) { limiter.trainingLimit }
            }
            val during = limiter.trainingLimit
            expectThat(limiter.limit).isGreaterThan(limit - 1)
            repeat(200) {
                repeat(10) { limiter.onLiveFirstToken(100.milliseconds, now) }
                run(1, perAttempt = 0.5) { limiter.trainingLimit }
            }

            expectThat(during).isLessThan(before / 2)
            expectThat(limiter.trainingLimit).isGreaterThan(during * 2)
        }
    }
}
