package org.zinniahoist.policy.routing

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** Baseline router: selects the available upstream whose last report has the smallest load. Scans all upstreams. */
public class LeastReportedLoadRouter : Router {
    private val loads = LinkedHashMap<InstanceName, Int>()
    private val unavailable = HashSet<InstanceName>()

    override fun add(instance: InstanceName, failureDomain: FailureDomain) {
        loads.putIfAbsent(instance, 0)
    }

    override fun remove(instance: InstanceName) {
        loads.remove(instance)
        unavailable.remove(instance)
    }

    override fun setAvailable(instance: InstanceName, available: Boolean) {
        if (available) unavailable.remove(instance) else unavailable.add(instance)
    }

    override fun route(request: RoutingRequest, now: Moment, random: Random): RoutingDecision = loads.entries
        .filter { it.key !in unavailable && it.key !in request.excluded }
        .minByOrNull { it.value }
        ?.let { RoutingDecision.Routed(it.key, Duration.ZERO) }
        ?: RoutingDecision.NoUpstream

    override fun onStart(instance: InstanceName): Unit = Unit

    override fun onEnd(instance: InstanceName, outcome: AttemptOutcome, now: Moment): Unit = Unit

    override fun onReport(instance: InstanceName, digest: LoadDigest, now: Moment) {
        loads.computeIfPresent(instance) { _, _ -> digest.running + digest.waiting }
    }
}
