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
import org.zinniahoist.policy.staleness.FixedBoundStalenessPolicy
import org.zinniahoist.policy.staleness.StalenessPolicy

/**
 * Bundles the policies of an entry. The entry serializes the calls of each policy under a lock of its own, except
 * [staleness], which is stateless.
 *
 * @property router creates the router of a model or plain service.
 * @property budget retry budget that [retry] consumes; the entry reports each request to it.
 * @property lengths creates the length estimator of a trainer.
 * @property scheduler creates the scheduler of a trainer from its length estimator.
 */
public class EntryPolicies(
    public val router: () -> Router = ::LeastReportedLoadRouter,
    public val budget: RetryBudget = TokenBucketRetryBudget(),
    public val retry: RetryPolicy = BudgetedRetryPolicy(budget),
    public val limiter: CallerLimiter = CountingCallerLimiter(),
    public val leaving: AvailabilityTracker = PlatformListAvailabilityTracker(),
    public val staleness: StalenessPolicy = FixedBoundStalenessPolicy(),
    public val lengths: () -> LengthEstimator = ::FixedLengthEstimator,
    public val scheduler: (LengthEstimator) -> SampleScheduler = { ArrivalOrderScheduler() },
)
