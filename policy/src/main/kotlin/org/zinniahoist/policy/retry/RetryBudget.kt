package org.zinniahoist.policy.retry

/** Bounds retries as a share of requests, so that a retry storm can't multiply the load of an outage. */
public interface RetryBudget {
    /** Records a first attempt, which earns a part of a retry. */
    public fun onRequest()

    /** Pays for one retry, or returns false if the budget is used up. */
    public fun tryRetry(): Boolean
}

/** Baseline: retries without a bound. */
public class UnlimitedRetryBudget : RetryBudget {
    override fun onRequest(): Unit = Unit

    override fun tryRetry(): Boolean = true
}
