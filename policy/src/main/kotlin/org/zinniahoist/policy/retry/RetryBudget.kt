package org.zinniahoist.policy.retry

/** Limits retries to a fraction of the requests, so that a retry storm can't amplify the load during an outage. */
public interface RetryBudget {
    /** Records the first attempt of a request, which adds a fraction of a retry to the budget. */
    public fun onRequest()

    /** Consumes one retry from the budget, or returns false if the budget is exhausted. */
    public fun tryRetry(): Boolean
}

/** Baseline budget: permits every retry. */
public class UnlimitedRetryBudget : RetryBudget {
    override fun onRequest(): Unit = Unit

    override fun tryRetry(): Boolean = true
}
