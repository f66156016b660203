package org.zinniahoist.policy.retry

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Verdict
import kotlin.random.Random
import kotlin.time.Duration

/** Decides whether a request is retried. */
public fun interface RetryPolicy {
    /** Decides whether to retry after [attempt] ended. [RetryDecision.Retry] has consumed its retry budget. */
    public fun decide(attempt: EndedAttempt, now: Moment, random: Random): RetryDecision
}

/**
 * Attempt that ended, with the retry state of its request.
 *
 * @property idempotent whether the request may run more than once.
 * @property attempts number of attempts of the request, including this one.
 * @property tried upstreams to which the attempts of the request were sent.
 * @property retryAfter minimum delay before a retry, as requested by a refusal.
 */
public data class EndedAttempt(
    public val verdict: Verdict,
    public val idempotent: Boolean,
    public val attempts: Int,
    public val tried: Set<InstanceName>,
    public val deadline: Moment,
    public val retryAfter: Duration = Duration.ZERO,
)

/** Decision after the end of an attempt. */
public sealed interface RetryDecision {
    /** Retries the request after [delay] on an upstream that is not in [excluded]. */
    public data class Retry(
        public val delay: Duration,
        public val excluded: Set<InstanceName>,
    ) : RetryDecision

    /** Returns the verdict of the last attempt to the caller. */
    public data class GiveUp(public val reason: GiveUpReason) : RetryDecision
}

/** Reason why a request is not retried. */
public enum class GiveUpReason {
    COMPLETED,
    MAY_HAVE_RUN,
    FINAL_REFUSAL,
    DEADLINE,
    ATTEMPTS,
    BUDGET,
    NOT_ENABLED,
}

/** Baseline policy: never retries. */
public class NoRetryPolicy : RetryPolicy {
    override fun decide(attempt: EndedAttempt, now: Moment, random: Random): RetryDecision =
        RetryDecision.GiveUp(GiveUpReason.NOT_ENABLED)
}
