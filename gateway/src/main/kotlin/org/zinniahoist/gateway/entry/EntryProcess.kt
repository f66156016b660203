package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.util.internal.PlatformDependent
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.zinniahoist.gateway.GatewayProcess
import org.zinniahoist.gateway.connections.ClientConnections
import org.zinniahoist.gateway.core.ReplicaGroup
import org.zinniahoist.gateway.dialect.DutyDialect
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.framing.MessageFault
import org.zinniahoist.gateway.link.CoreClient
import org.zinniahoist.gateway.link.CoreObserver
import org.zinniahoist.gateway.link.toEvidence
import org.zinniahoist.gateway.link.toReport
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.ConnectionProbe
import org.zinniahoist.gateway.upstream.CrashMonitor
import org.zinniahoist.gateway.upstream.ListReader
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.connections.ConnectionLimits
import org.zinniahoist.policy.duty.UsageWindows
import org.zinniahoist.policy.live.AdaptiveAdmission
import org.zinniahoist.policy.live.AdmissionFigures
import org.zinniahoist.policy.liveness.LeavingUpstreams
import org.zinniahoist.policy.routes.KeyFreshness
import org.zinniahoist.policy.routes.LeastLatencyBalancer
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.settings.GatewaySettings
import org.zinniahoist.settings.LiveAdmissionMode
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.ServiceMessage
import kotlin.random.Random
import kotlin.time.DurationUnit

/** Runs the role `entry`, which serves client requests. */
internal class EntryProcess(
    private val settings: GatewaySettings,
    private val dialect: PlatformDialect,
    private val clock: () -> Moment,
) : GatewayProcess,
    CoreObserver {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val metrics = GatewayMetrics()
    private val calls = UpstreamCalls(dialect.headers, metrics, ::onLeaving)
    private val leaving = LeavingUpstreams(settings.drain)
    private val directory = UpstreamDirectory(
        LeastLatencyBalancer(leaving::mayStillServe),
        ListReader(dialect.paths, dialect::listPage, calls, settings.listEndpoint),
        clock,
        leaving,
    )
    private val hello = hello()
    private val core = CoreClient(ReplicaGroup.seedsOf(settings), hello, this, scope, clock)
    private val memory = EntryMemory(Runtime.getRuntime().maxMemory())
    private val crashes =
        CrashMonitor(ConnectionProbe, leaving::isLeaving, scope, clock, metrics) { core.report(it.toReport(clock())) }
    private val keys = KeyFreshness(settings.revocation, settings.hasStrictRevocation)
    private val gate = newGate()
    private val http = EntryHttp(
        dialect,
        core,
        directory,
        calls,
        scope,
        clock,
        metrics,
        memory,
        keys,
        crashes,
        gate = gate,
    )
    private val input = ClientConnections.inputBudget(PlatformDependent.maxDirectMemory())
    private val clients =
        newConnections("clients", ClientConnections.clientLimits(Runtime.getRuntime().maxMemory()))
    private val probes = newConnections("readiness", ClientConnections.internalLimits())
    private lateinit var clientServer: Server
    private lateinit var readinessServer: Server

    override fun start() {
        startUsageRecorder(dialect.duties)
        clientServer = startServer(clients, checkNotNull(settings.clients), http)
        readinessServer = startServer(probes, checkNotNull(settings.readiness), readinessService())
        metrics.gauges("zinniahoist_connections", "Open connections of clients, by address.", "address") {
            mapOf("clients" to clients.size, "readiness" to probes.size)
        }
        metrics.gauge("zinniahoist_requests_in_flight", "Client requests without a complete answer.") {
            http.requestsInFlight
        }
        metrics.gauge("zinniahoist_answer_bytes_held", "Bytes of answers that clients do not have yet.") {
            memory.responses.heldBytes
        }
        metrics.gauge("zinniahoist_request_bytes_held", "Bytes of bodies of requests without a complete answer.") {
            memory.requests.heldBytes
        }
        metrics.gauge("zinniahoist_requests_blocked", "Requests refused because upstreams crashed at their runs.") {
            crashes.blockedRequests
        }
        metrics.gauge(
            "zinniahoist_group_contact_age_seconds",
            "Time since the service group was in contact, in seconds.",
        ) {
            core.contactAge.toDouble(DurationUnit.SECONDS)
        }
        metrics.gauge("zinniahoist_group_links", "Open links to replicas of the service group.") { core.openLinks }
        registerAdmissionGauges()
        core.start()
        scope.launch { calls.prepare() }
        scope.launch { directory.refreshPeriodically() }
        logger.info { "event=started role=entry machine=${settings.machine} clients=${settings.clients}" }
    }

    private fun startUsageRecorder(duties: DutyDialect) {
        val names = settings.duties.names
        val isCounting = duties.usageReports in names
        if (!isCounting && duties.upstreamCounts !in names) return
        val windows = UsageWindows(settings.duties.reportWindow, settings.duties.reportLateness)
        val recorder = UsageRecorder(hello.incarnation, windows, isCounting, core, clock, metrics)
        http.usage = recorder
        recorder.start(scope)
    }

    private fun newConnections(address: String, limits: ConnectionLimits) =
        ClientConnections(address, limits, input, dialect.headers.requestIdentifier, metrics, clock, ::onFault)

    private fun onFault(fault: MessageFault) {
        metrics.onEvent("request_malformed", fault.name.lowercase())
        logger.info { "event=request-malformed fault=${fault.name.lowercase()} status=${fault.status}" }
    }

    private fun newGate(): AdmissionGate = when (settings.scheduling.liveAdmission) {
        LiveAdmissionMode.NONE -> AdmissionGate.open(clock)
        LiveAdmissionMode.ADAPTIVE -> AdmissionGate(AdaptiveAdmission(), directory::capacity, clock)
    }

    private fun registerAdmissionGauges() {
        fun register(name: String, help: String, figure: (AdmissionFigures) -> Int) =
            metrics.gauges("zinniahoist_admission_$name", help, "service") {
                gate.figures().entries.associate { (service, figures) -> service.value to figure(figures) }
            }
        register("limit", "Most live requests in flight to a service, by service.") { it.limit }
        register("in_flight", "Live requests in flight to a service, by service.") { it.inFlight }
        register("waiting", "Live requests that wait for a place, by service.") { it.waiting }
    }

    private fun onLeaving(upstream: UpstreamIdentity) {
        if (directory.onLeaving(upstream)) metrics.onEvent("upstream_leaving", "response")
    }

    private fun isReady(): Boolean =
        http.phase == EntryPhase.SERVING && core.isSynchronized && http.routes != null && directory.isKnown

    private fun readinessService() = metrics.serviceOr { _, _ ->
        HttpResponse.of(if (isReady()) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE)
    }

    private fun startServer(connections: ClientConnections, endpoint: Endpoint, service: HttpService): Server =
        connections.newServer(endpoint, service).build().also { it.start().join() }

    override fun onConfiguration(revision: Revision, document: ByteArray) {
        dialect.configuration(document).fold(
            { logger.error { "event=configuration-invalid revision=$revision fault=\"$it\"" } },
            { configuration ->
                val routes = RouteTable(configuration)
                http.routes = routes
                http.usage?.scaledServices = routes.scaling.keys
                logger.info { "event=configuration-in-force revision=$revision routes=${configuration.routes.size}" }
            },
        )
    }

    override fun onUpstreams(entries: List<ListedUpstream>?): Unit = directory.refresh(entries)

    override fun onCrashes(report: ServiceMessage.Crashes) {
        crashes.onEvidence(report.toEvidence(clock()))
    }

    override fun onConnected(link: LinkConnection) {
        val evidence = crashes.evidence
        if (!evidence.isEmpty) link.offer(evidence.toReport(clock()))
    }

    override fun reload(settings: GatewaySettings): Unit = core.useSeeds(ReplicaGroup.seedsOf(settings))

    override fun stop() {
        logger.info { "event=stopping role=entry machine=${settings.machine} in-flight=${http.requestsInFlight}" }
        runBlocking { EntryShutdown(http, settings.grace, clock).drain() }
        clientServer.stop().join()
        readinessServer.stop().join()
        core.close()
        scope.cancel()
        logger.info { "event=stopped role=entry machine=${settings.machine} in-flight=${http.requestsInFlight}" }
    }

    private fun hello() = LinkMessage.Hello(
        protocolVersion = LinkLimits.PROTOCOL_VERSION,
        instance = InstanceName(settings.machine),
        incarnation = Incarnation(Random.nextLong(Long.MAX_VALUE)),
        failureDomain = FailureDomain(settings.failureDomain, Region(settings.region)),
        roles = setOf(Role.ENTRY),
    )

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
