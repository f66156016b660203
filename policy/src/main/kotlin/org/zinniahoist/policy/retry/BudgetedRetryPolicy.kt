package org.zinniahoist.policy.retry

import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of [BudgetedRetryPolicy].
 *
 * @property maximumAttempts maximum number of attempts per request, including the first.
 * @property initialDelay upper bound of the backoff before the first retry. It doubles with each further retry.
 * @property maximumDelay upper bound of the backoff before any retry.
 */
public data class RetrySettings(
    public val maximumAttempts: Int = 4,
    public val initialDelay: Duration = 20.milliseconds,
    public val maximumDelay: Duration = 1_000.milliseconds,
)

/** Retries attempts whose verdict permits it, with exponential backoff, within the deadline and the retry budget. */
public class BudgetedRetryPolicy(
    private val budget: RetryBudget,
    private val settings: RetrySettings = RetrySettings(),
) : RetryPolicy {
    override fun decide(attempt: EndedAttempt, now: Moment, random: Random): RetryDecision {
        terminalReason(attempt)?.let { return RetryDecision.GiveUp(it) }
        if (attempt.attempts >= settings.maximumAttempts) return RetryDecision.GiveUp(GiveUpReason.ATTEMPTS)
        val delay = maxOf(attempt.retryAfter, backoff(attempt.attempts, random))
        if (now + delay >= attempt.deadline) return RetryDecision.GiveUp(GiveUpReason.DEADLINE)
        if (!budget.tryRetry()) return RetryDecision.GiveUp(GiveUpReason.BUDGET)
        return RetryDecision.Retry(delay, attempt.tried)
    }

    private fun terminalReason(attempt: EndedAttempt): GiveUpReason? = when (val verdict = attempt.verdict) {
        Verdict.Completed -> GiveUpReason.COMPLETED
        is Verdict.MayHaveRun -> when {
            !attempt.idempotent -> GiveUpReason.MAY_HAVE_RUN
            isTerminal(verdict.reason) -> GiveUpReason.FINAL_REFUSAL
            else -> null
        }
        is Verdict.NotRun -> if (isTerminal(verdict.reason)) GiveUpReason.FINAL_REFUSAL else null
    }

    private fun isTerminal(reason: FailureReason): Boolean = when (reason) {
        FailureReason.LINK_LOST,
        FailureReason.UPSTREAM_CRASHED,
        FailureReason.UPSTREAM_SILENT,
        FailureReason.INCOMPLETE_ANSWER,
        -> false
        FailureReason.DEADLINE_EXCEEDED,
        FailureReason.KEY_IN_PROGRESS,
        FailureReason.OUTCOME_UNKNOWN,
        FailureReason.CANCELLED,
        -> true
    }

    private fun isTerminal(reason: RefusalReason): Boolean = when (reason) {
        RefusalReason.NO_UPSTREAM,
        RefusalReason.OVERLOADED,
        RefusalReason.DRAINING,
        RefusalReason.STALE_START,
        -> false
        RefusalReason.MALFORMED,
        RefusalReason.UNAUTHORIZED,
        RefusalReason.UNKNOWN_ROUTE,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.CONCURRENCY_LIMIT,
        RefusalReason.DEADLINE_EXCEEDED,
        RefusalReason.CONTROL_UNAVAILABLE,
        RefusalReason.KEY_CONFLICT,
        RefusalReason.POISONED,
        RefusalReason.SUPERSEDED,
        RefusalReason.CANCELLED,
        -> true
    }

    private fun backoff(attempts: Int, random: Random): Duration {
        val maximumBackoff =
            minOf(settings.initialDelay * (1 shl (attempts - 1).coerceIn(0, MAXIMUM_DOUBLINGS)), settings.maximumDelay)
        return maximumBackoff * (1 + random.nextDouble()) / 2
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 16
    }
}
