package org.zinniahoist.daemon.entry

import org.zinniahoist.policy.liveness.AvailabilityTracker
import org.zinniahoist.policy.liveness.PlatformListAvailabilityTracker
import org.zinniahoist.policy.retry.BudgetedRetryPolicy
import org.zinniahoist.policy.retry.CallerLimiter
import org.zinniahoist.policy.retry.CountingCallerLimiter
import org.zinniahoist.policy.retry.RetryBudget
import org.zinniahoist.policy.retry.RetryPolicy
import org.zinniahoist.policy.retry.TokenBucketRetryBudget
import org.zinniahoist.policy.routing.LeastReportedLoadRouter
import org.zinniahoist.policy.routing.Router
import org.zinniahoist.policy.sampling.ArrivalOrderScheduler
import org.zinniahoist.policy.sampling.FixedLengthEstimator
import org.zinniahoist.policy.sampling.LengthEstimator
import org.zinniahoist.policy.sampling.SampleScheduler
import org.zinniahoist.policy.staleness.FixedCutoffStaleness
import org.zinniahoist.policy.staleness.StalenessPolicy

/**
 * The decision objects of an entry. The entry calls each under its own lock, but for [staleness], which has no state.
 *
 * @property router makes the router of one model or plain service.
 * @property budget the retry budget that [retry] draws on; the entry reports each request to it.
 * @property lengths makes the length estimator of one trainer.
 * @property scheduler makes the scheduler of one trainer from its length estimator.
 */
public class EntryPolicies(
    public val router: () -> Router = ::LeastReportedLoadRouter,
    public val budget: RetryBudget = TokenBucketRetryBudget(),
    public val retry: RetryPolicy = BudgetedRetryPolicy(budget),
    public val limiter: CallerLimiter = CountingCallerLimiter(),
    public val leaving: AvailabilityTracker = PlatformListAvailabilityTracker(),
    public val staleness: StalenessPolicy = FixedCutoffStaleness(),
    public val lengths: () -> LengthEstimator = ::FixedLengthEstimator,
    public val scheduler: (LengthEstimator) -> SampleScheduler = { ArrivalOrderScheduler() },
)
