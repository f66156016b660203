package org.zinniahoist.policy.retry

/**
 * Token bucket that each request refills by [sharePercent] percent of a retry.
 *
 * Over any sequence of requests, the number of retries is at most [burst] plus that percentage of the requests.
 */
public class TokenBucketRetryBudget(
    private val sharePercent: Int = 10,
    private val burst: Int = 10,
) : RetryBudget {
    private var balanceHundredths = burst * RETRY_COST_HUNDREDTHS

    override fun onRequest() {
        balanceHundredths = minOf(balanceHundredths + sharePercent, burst * RETRY_COST_HUNDREDTHS)
    }

    override fun tryRetry(): Boolean {
        if (balanceHundredths < RETRY_COST_HUNDREDTHS) return false
        balanceHundredths -= RETRY_COST_HUNDREDTHS
        return true
    }

    private companion object {
        const val RETRY_COST_HUNDREDTHS = 100
    }
}
