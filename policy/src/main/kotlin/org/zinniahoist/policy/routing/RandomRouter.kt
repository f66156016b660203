package org.zinniahoist.policy.routing

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.random.Random
import kotlin.time.Duration

/** Baseline router: selects an available upstream uniformly at random. */
public class RandomRouter : Router {
    private val known = HashSet<InstanceName>()
    private val available = IndexedUpstreams<InstanceName> { it }

    override fun add(instance: InstanceName, failureDomain: FailureDomain) {
        if (known.add(instance)) available.add(instance)
    }

    override fun remove(instance: InstanceName) {
        known.remove(instance)
        available.remove(instance)
    }

    override fun setAvailable(instance: InstanceName, available: Boolean) {
        if (available && instance in known) this.available.add(instance) else this.available.remove(instance)
    }

    override fun route(request: RoutingRequest, now: Moment, random: Random): RoutingDecision {
        if (available.size == 0) return RoutingDecision.NoUpstream
        val first = random.nextInt(available.size)
        for (offset in 0 until available.size) {
            val instance = available[(first + offset) % available.size]
            if (instance !in request.excluded) return RoutingDecision.Routed(instance, Duration.ZERO)
        }
        return RoutingDecision.NoUpstream
    }

    override fun onStart(instance: InstanceName): Unit = Unit

    override fun onEnd(instance: InstanceName, outcome: AttemptOutcome, now: Moment): Unit = Unit

    override fun onReport(instance: InstanceName, digest: LoadDigest, now: Moment): Unit = Unit
}
