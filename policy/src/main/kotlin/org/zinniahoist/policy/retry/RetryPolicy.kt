package org.zinniahoist.policy.retry

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Verdict
import kotlin.random.Random
import kotlin.time.Duration

/** Decides whether a request gets another attempt. */
public fun interface RetryPolicy {
    /** Decides what follows on the end of [attempt]. A decision to retry has paid for the retry. */
    public fun decide(attempt: EndedAttempt, now: Moment, random: Random): RetryDecision
}

/**
 * An attempt that ended.
 *
 * @property attempts attempts made for the request, this one included.
 * @property tried upstreams that the request's attempts were sent to.
 * @property retryAfter wait that a refusal asked for.
 */
public data class EndedAttempt(
    public val verdict: Verdict,
    public val idempotent: Boolean,
    public val attempts: Int,
    public val tried: Set<InstanceName>,
    public val deadline: Moment,
    public val retryAfter: Duration = Duration.ZERO,
)

/** What follows on the end of an attempt. */
public sealed interface RetryDecision {
    /** Another attempt after [delay] on an upstream that is not in [excluded]. */
    public data class Retry(
        public val delay: Duration,
        public val excluded: Set<InstanceName>,
    ) : RetryDecision

    /** The caller gets the verdict of the last attempt. */
    public data class GiveUp(public val reason: GiveUpReason) : RetryDecision
}

/** Why a request gets no further attempt. */
public enum class GiveUpReason {
    COMPLETED,
    MAY_HAVE_RUN,
    FINAL_REFUSAL,
    DEADLINE,
    ATTEMPTS,
    BUDGET,
    NOT_ENABLED,
}

/** Baseline: no request is retried. */
public class NoRetryPolicy : RetryPolicy {
    override fun decide(attempt: EndedAttempt, now: Moment, random: Random): RetryDecision =
        RetryDecision.GiveUp(GiveUpReason.NOT_ENABLED)
}
