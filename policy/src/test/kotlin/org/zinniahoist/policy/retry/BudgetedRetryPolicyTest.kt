package org.zinniahoist.policy.retry

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.CallerName
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class BudgetedRetryPolicyTest {
    private val budget = TokenBucketRetryBudget()
    private val policy = BudgetedRetryPolicy(budget)
    private val tried = setOf(InstanceName("a"))

    private fun decide(
        verdict: Verdict,
        idempotent: Boolean = true,
        attempts: Int = 1,
        now: Moment = Moment.ZERO,
    ) = policy.decide(
        EndedAttempt(verdict, idempotent, attempts, tried, Moment.ZERO + 10.seconds),
        now,
        Random(1),
    )

    @Nested
    inner class Verdicts {
        /** Guards against running a request twice that is not idempotent. */
        @Test
        fun `never allow a retry of a non-idempotent request that may have run`() {
            val decisions = FailureReason.entries.map { decide(Verdict.MayHaveRun(it), idempotent = false) }

            expectThat(decisions).all { isEqualTo(RetryDecision.GiveUp(GiveUpReason.MAY_HAVE_RUN)) }
        }

        /** Guards against failures that reach the caller although another upstream could have served the request. */
        @Test
        fun `allow retries of idempotent requests and of requests that have not run`() {
            val refused = decide(Verdict.NotRun(RefusalReason.OVERLOADED), idempotent = false)
            val lost = decide(Verdict.MayHaveRun(FailureReason.LINK_LOST))

            expectThat(listOf(refused, lost)).all { isA<RetryDecision.Retry>().get { excluded }.isEqualTo(tried) }
        }

        @Test
        fun `never allow a retry of a completed request or after a terminal refusal`() {
            expectThat(decide(Verdict.Completed)).isEqualTo(RetryDecision.GiveUp(GiveUpReason.COMPLETED))
            expectThat(decide(Verdict.NotRun(RefusalReason.POISONED)))
                .isEqualTo(RetryDecision.GiveUp(GiveUpReason.FINAL_REFUSAL))
        }
    }

    @Nested
    inner class Limits {
        private val refusal = Verdict.NotRun(RefusalReason.OVERLOADED)

        /** Guards against retries after the deadline of the caller, and against an unlimited number of retries. */
        @Test
        fun `end retries at the deadline and after four attempts`() {
            expectThat(decide(refusal, now = Moment.ZERO + 9_995.milliseconds))
                .isEqualTo(RetryDecision.GiveUp(GiveUpReason.DEADLINE))
            expectThat(decide(refusal, attempts = 4)).isEqualTo(RetryDecision.GiveUp(GiveUpReason.ATTEMPTS))
        }

        /** Guards against a retry storm that amplifies the load during an outage. */
        @Test
        fun `end retries when the budget is exhausted`() {
            repeat(10) { decide(refusal) }

            expectThat(decide(refusal)).isEqualTo(RetryDecision.GiveUp(GiveUpReason.BUDGET))
            repeat(10) { budget.onRequest() }
            expectThat(decide(refusal)).isA<RetryDecision.Retry>()
        }

        /** Guards against a caller that uses up the request capacity of an entry. */
        @Test
        fun `bound the requests in flight of one caller`() {
            val limiter = CountingCallerLimiter()
            val caller = CallerName("shop")

            expectThat(List(3) { limiter.tryAcquire(caller, 2) }).isEqualTo(listOf(true, true, false))
            expectThat(limiter.tryAcquire(CallerName("van"), 2)).isTrue()
            limiter.release(caller)
            expectThat(List(2) { limiter.tryAcquire(caller, 2) }).isEqualTo(listOf(true, false))
        }
    }
}

class RetryBudgetPropertyTest {
    /** Guards against a sequence of requests and retries that exceeds the budget. */
    @Property(tries = 300, seed = "20261204")
    fun grantsNoMoreThanATenthOfAnyRunOfRequestsAndTheBurst(@ForAll events: List<Boolean>) {
        val budget = TokenBucketRetryBudget(sharePercent = 10, burst = 2)
        val history = ArrayList<Boolean>()
        events.plus(events).plus(events).forEach { isRequest ->
            if (isRequest) {
                budget.onRequest()
                history.add(true)
            } else if (budget.tryRetry()) {
                history.add(false)
            }
        }
        for (first in history.indices) {
            val run = history.drop(first)
            expectThat(run.count { !it } * 10 > run.count { it } + 20).isFalse()
        }
    }
}
