package org.zinniahoist.gateway.core

import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.dispatch.TrackedUpstream
import org.zinniahoist.policy.dispatch.UpstreamRegistry
import org.zinniahoist.policy.duty.LiveLoadTracker
import org.zinniahoist.policy.duty.ScaledService
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.policy.routes.ScalingBounds
import org.zinniahoist.state.service.JobRecord

/** Measures the demand for upstreams of the services with scaling. All functions run on the engine thread. */
internal class UpstreamDemand(
    private val jobs: () -> Collection<JobRecord>,
    private val registry: UpstreamRegistry,
    private val live: LiveLoadTracker,
    private val wallMilliseconds: () -> Long = System::currentTimeMillis,
) {
    /** Returns the services with scaling in [routes], with their supply and demand at [now]. */
    fun services(routes: RouteTable, now: Moment): List<ScaledService> {
        if (routes.scaling.isEmpty()) return emptyList()
        val work = work(routes)
        return routes.scaling.map { (service, bounds) -> scaled(service, bounds, work[service].orEmpty(), now) }
    }

    private fun scaled(
        service: ServiceName,
        bounds: ScalingBounds,
        work: List<Work>,
        now: Moment,
    ): ScaledService {
        val upstreams = registry.all.filter { it.listed.service == service && !it.listed.isLeaving }
        val slots = upstreams.sumOf { it.listed.slots }.coerceAtLeast(1)
        return ScaledService(
            service,
            bounds,
            wantedSlots(work, upstreams)?.plus(live.inProgress(service, now)),
            upstreams.groupingBy { it.listed.failureDomain }.eachCount(),
            slotsPerUpstream = slots.toDouble() / upstreams.size.coerceAtLeast(1),
        )
    }

    /** Returns the slots that [work] needs, or null if it is not known how fast an upstream is. */
    private fun wantedSlots(work: List<Work>, upstreams: List<TrackedUpstream>): Double? {
        if (work.isEmpty()) return 0.0
        val pace = registry.tokensPerSecond(upstreams) ?: return null
        return work.sumOf { it.tokens / (pace * it.secondsLeft) }
    }

    private fun work(routes: RouteTable): Map<ServiceName, List<Work>> = jobs()
        .filter { !it.isEnded }
        .flatMap { workOf(it, routes) }
        .groupBy({ it.first }, { it.second })

    private fun workOf(record: JobRecord, routes: RouteTable): List<Pair<ServiceName, Work>> {
        val route = routes.find(record.job.host, record.job.path) ?: return emptyList()
        val terms = route.batch ?: return emptyList()
        val tokens = record.openItems().sumOf { it.estimatedTokens.toDouble() }
        if (tokens == 0.0) return emptyList()
        val dueMilliseconds = record.submittedMilliseconds + terms.due.inWholeMilliseconds
        val secondsLeft = (dueMilliseconds - wallMilliseconds()).coerceAtLeast(SHORTEST_TIME_LEFT) / MILLISECONDS
        val weights = route.shares.sumOf { it.weight }
        return route.shares.filter { it.weight > 0 }.map { share ->
            share.service to Work(tokens * share.weight / weights, secondsLeft)
        }
    }

    private class Work(
        val tokens: Double,
        val secondsLeft: Double,
    )

    private companion object {
        /** Late work is wanted soon, but no number of upstreams does it at once. */
        const val SHORTEST_TIME_LEFT = 1_000L
        const val MILLISECONDS = 1_000.0
    }
}
