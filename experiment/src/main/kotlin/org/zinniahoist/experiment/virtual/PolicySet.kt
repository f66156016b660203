package org.zinniahoist.experiment.virtual

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.admission.AdmissionQueue
import org.zinniahoist.policy.admission.ArrivalOrderQueue
import org.zinniahoist.policy.admission.ConcurrencyLimiter
import org.zinniahoist.policy.admission.FairShareQueue
import org.zinniahoist.policy.admission.FixedConcurrencyLimiter
import org.zinniahoist.policy.admission.LimiterSettings
import org.zinniahoist.policy.admission.ThroughputConcurrencyLimiter
import org.zinniahoist.policy.liveness.HeartbeatMonitor
import org.zinniahoist.policy.liveness.LinkMonitor
import org.zinniahoist.policy.liveness.NoOpLinkMonitor
import org.zinniahoist.policy.retry.BudgetedRetryPolicy
import org.zinniahoist.policy.retry.NoRetryPolicy
import org.zinniahoist.policy.retry.RetryBudget
import org.zinniahoist.policy.retry.RetryPolicy
import org.zinniahoist.policy.rollout.AllAtOncePlanner
import org.zinniahoist.policy.rollout.RolloutPlanner
import org.zinniahoist.policy.rollout.WavePlanner
import org.zinniahoist.policy.routing.EstimatedWaitRouter
import org.zinniahoist.policy.routing.LeastReportedLoadRouter
import org.zinniahoist.policy.routing.RandomRouter
import org.zinniahoist.policy.routing.Router
import org.zinniahoist.policy.sampling.ArrivalOrderScheduler
import org.zinniahoist.policy.sampling.LongestFirstScheduler
import org.zinniahoist.policy.sampling.SampleScheduler
import org.zinniahoist.policy.sampling.SchedulerSettings
import org.zinniahoist.policy.staleness.FixedBoundStalenessPolicy
import org.zinniahoist.policy.staleness.PredictiveStalenessPolicy
import org.zinniahoist.policy.staleness.StalenessPolicy

/** A decision that can be replaced by its baseline. */
internal enum class Decision {
    ROUTING,
    LEAST_LOAD,
    AFFINITY,
    ADMISSION,
    LIMIT,
    RETRY,
    STALENESS,
    SCHEDULING,
    HEDGING,
    ROLLOUT,
    LIVENESS,
    ;

    val label: String = name.lowercase().replace('_', '-')
}

/** The decision objects of a run. [plain] are the decisions whose baselines run. */
internal class PolicySet(private val plain: Set<Decision>) {
    val sharesPrefixes: Boolean = Decision.AFFINITY !in plain
    val takesSwappingOut: Boolean = Decision.ROLLOUT !in plain

    fun router(domain: FailureDomain): Router = when {
        Decision.ROUTING in plain -> RandomRouter()
        Decision.LEAST_LOAD in plain -> LeastReportedLoadRouter()
        else -> EstimatedWaitRouter(domain)
    }

    fun queue(): AdmissionQueue = if (Decision.ADMISSION in plain) ArrivalOrderQueue() else FairShareQueue()

    fun limiter(): ConcurrencyLimiter = if (Decision.LIMIT in plain) {
        FixedConcurrencyLimiter()
    } else {
        ThroughputConcurrencyLimiter(LimiterSettings(maximum = VirtualEngine.MAXIMUM_BATCH))
    }

    fun retry(budget: RetryBudget): RetryPolicy =
        if (Decision.RETRY in plain) NoRetryPolicy() else BudgetedRetryPolicy(budget)

    fun staleness(): StalenessPolicy =
        if (Decision.STALENESS in plain) FixedBoundStalenessPolicy() else PredictiveStalenessPolicy()

    fun scheduler(): SampleScheduler = when {
        Decision.SCHEDULING in plain -> ArrivalOrderScheduler()
        Decision.HEDGING in plain -> LongestFirstScheduler(settings = SchedulerSettings(hedging = false))
        else -> LongestFirstScheduler(settings = SchedulerSettings(hedging = true))
    }

    fun rollout(): RolloutPlanner = if (Decision.ROLLOUT in plain) AllAtOncePlanner() else WavePlanner()

    fun linkMonitor(now: Moment): LinkMonitor =
        if (Decision.LIVENESS in plain) NoOpLinkMonitor() else HeartbeatMonitor(now)
}
