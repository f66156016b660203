package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.dispatch.UpstreamRegistry
import org.zinniahoist.policy.duty.LiveLoadTracker
import org.zinniahoist.policy.duty.ScaledService
import org.zinniahoist.policy.routes.BatchTerms
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.policy.routes.ScalingBounds
import org.zinniahoist.policy.routes.ServiceConfiguration
import org.zinniahoist.policy.routes.ServiceEntry
import org.zinniahoist.policy.routes.ServiceShare
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class UpstreamDemandTest {
    private val registry = UpstreamRegistry()
    private val live = LiveLoadTracker()
    private val jobs = ArrayList<JobRecord>()
    private var wall = 0L
    private val demand = UpstreamDemand({ jobs }, registry, live) { wall }

    private fun upstream(
        name: String,
        domain: String,
        isLeaving: Boolean = false,
        service: ServiceName = SCALED,
    ) = ListedUpstream(UpstreamIdentity(name), service, Endpoint("127.0.0.1", 1), domain, 4, isLeaving, emptyMap())

    private fun submit(tokens: Int) {
        val item = BatchItem(RequestIdentifier("i"), "/p", emptyList(), ByteArray(0), tokens)
        jobs += JobRecord(BatchJob(JobIdentifier("j"), "h", "/p/", listOf(item)), submittedMilliseconds = 0)
    }

    private fun scaled(): ScaledService = demand.services(ROUTES, NOW).single()

    /** Guards against upstreams of other services, or that are leaving, in the count that orders refer to. */
    @Test
    fun `counts the listed upstreams of the service by failure domain`() {
        registry.relist(
            listOf(
                upstream("u1", "a"),
                upstream("u2", "a"),
                upstream("u3", "b"),
                upstream("u4", "b", isLeaving = true),
                upstream("u5", "b", service = ServiceName("other")),
            ),
        )
        expectThat(scaled()).isEqualTo(ScaledService(SCALED, BOUNDS, 0.0, mapOf("a" to 2, "b" to 1), 4.0))
    }

    /** Guards against too few upstreams for the jobs that are open, and against a guess before any is measured. */
    @Test
    fun `needs the slots that finish the open jobs in time, and those of live requests`() {
        registry.relist(listOf(upstream("u1", "a")))
        submit(tokens = 1_000)
        expectThat(scaled().wantedSlots).isNull()
        registry.onEventInterval(UpstreamIdentity("u1"), 20.milliseconds)
        wall = 3_000
        // 1,000 tokens at 50 a second within 5 s.
        expectThat(scaled().wantedSlots).isEqualTo(4.0)
        live.onReport(Incarnation(1), mapOf(SCALED to 0), NOW)
        live.onReport(Incarnation(1), mapOf(SCALED to 15_000), NOW)
        expectThat(scaled().wantedSlots).isEqualTo(5.5)
    }

    private companion object {
        val NOW = Moment.ZERO
        val SCALED = ServiceName("s")
        val BOUNDS = ScalingBounds(1, 9)
        val ROUTES = RouteTable(
            ServiceConfiguration(
                Revision(1),
                listOf(
                    Route(
                        name = "r",
                        host = "h",
                        pathPrefix = "/p/",
                        kind = RouteKind.BATCH,
                        timeout = 8.seconds,
                        target = 8.seconds,
                        priority = 0,
                        shares = listOf(ServiceShare(SCALED, 1)),
                        maximumAttempts = 1,
                        batch = BatchTerms(due = 8.seconds, keep = 40.seconds, singleVersion = false),
                    ),
                ),
                listOf(ServiceEntry(SCALED, 1, scaling = BOUNDS), ServiceEntry(ServiceName("other"), 1)),
                limits = null,
            ),
        )
    }
}
