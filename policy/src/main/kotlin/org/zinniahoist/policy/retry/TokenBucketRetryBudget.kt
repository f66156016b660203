package org.zinniahoist.policy.retry

/**
 * A bucket that each request fills by a part of a retry. Over any run, retries stay below [burst] plus the share of the
 * requests.
 */
public class TokenBucketRetryBudget(
    private val sharePercent: Int = 10,
    private val burst: Int = 10,
) : RetryBudget {
    private var hundredths = burst * RETRY_COST

    override fun onRequest() {
        hundredths = minOf(hundredths + sharePercent, burst * RETRY_COST)
    }

    override fun tryRetry(): Boolean {
        if (hundredths < RETRY_COST) return false
        hundredths -= RETRY_COST
        return true
    }

    private companion object {
        const val RETRY_COST = 100
    }
}
