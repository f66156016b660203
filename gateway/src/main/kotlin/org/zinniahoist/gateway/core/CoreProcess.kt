package org.zinniahoist.gateway.core

import com.linecorp.armeria.server.Server
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.util.internal.PlatformDependent
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.runBlocking
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.consensus.ReplicaTransport
import org.zinniahoist.gateway.GatewayProcess
import org.zinniahoist.gateway.connections.ClientConnections
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.link.DocumentCompression
import org.zinniahoist.gateway.link.PeerLinks
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.ConnectionProbe
import org.zinniahoist.gateway.upstream.CrashMonitor
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.liveness.LeavingUpstreams
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.settings.GatewaySettings
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceListener
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.state.service.StoredConfiguration
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LinkServer
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Process with role `core`: runs one replica of the service group. The leader also runs the batch jobs. */
internal class CoreProcess(
    private val settings: GatewaySettings,
    private val dialect: PlatformDialect,
    private val clock: () -> Moment,
    private val onFailure: (String) -> Unit,
) : GatewayProcess,
    ServiceListener {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val thread = EngineThread(onFailure = onFailure)
    private val machine = ServiceStateMachine(this)
    private val usage = UsageReceiver(machine.usage, clock)
    private val jobs = JobCallHandler(dialect, machine, usage, ::restoreCrashes) { host }
    private val hello = LinkMessage.Hello(
        protocolVersion = LinkLimits.PROTOCOL_VERSION,
        instance = ReplicaGroup.instanceOf(settings),
        incarnation = Incarnation(Random.nextLong(Long.MAX_VALUE)),
        failureDomain = FailureDomain(settings.failureDomain, Region(settings.region)),
        roles = setOf(Role.CONTROL),
    )
    private val metrics = GatewayMetrics()
    private val memory = MemoryLog(metrics)
    private val leaving = LeavingUpstreams(settings.drain)
    private val crashes: CrashMonitor =
        CrashMonitor(ConnectionProbe, leaving::isLeaving, scope, clock, metrics) { crashReports.publish(it) }
    private val crashReports = CrashReportRelay(crashes, clock)
    private val links = CoreLinks(settings.machine, hello, jobs, scope, crashReports, clock)
    private val duties = LeaderTasks(
        settings,
        dialect,
        machine,
        jobs,
        links,
        scope,
        thread,
        clock,
        metrics,
        crashes,
        leaving,
        ::restoreCrashes,
        usage,
    ) {
        host
    }
    private val linkServer = LinkServer(
        Endpoint(settings.address, settings.linkPort),
        hello,
        links,
        ::heartbeat,
        clock,
        PeerLinks.LIMITS,
    )
    private val operatorMemory = OperatorMemory(Runtime.getRuntime().maxMemory())
    private val operators = ClientConnections(
        "operators",
        ClientConnections.internalLimits(),
        ClientConnections.inputBudget(PlatformDependent.maxDirectMemory()),
        dialect.headers.requestIdentifier,
        metrics,
        clock,
    ) { metrics.onEvent("request_malformed", it.name.lowercase()) }
    private lateinit var host: GroupHost
    private lateinit var retirements: Retirements
    private lateinit var operatorServer: Server
    private lateinit var members: MembershipUpdater

    override fun start() {
        host = ReplicaGroup.open(settings, machine, ReplicaTransport(links::send), onFailure)
        retirements = Retirements(host, 2 * settings.toleratedLosses + 1)
        members = MembershipUpdater(host, links, ReplicaGroup.seedsOf(settings))
        links.host = host
        runBlocking { linkServer.start() }
        operatorServer = startOperatorServer()
        metrics.gauge("zinniahoist_leads", "1 while this replica leads the service group.") {
            if (host.status.isLeader) 1 else 0
        }
        metrics.gauge("zinniahoist_replica_stopped", "1 while the replica can't use its disk or its log.") {
            if (host.status.failure != null) 1 else 0
        }
        metrics.gauges("zinniahoist_connections", "Open connections of clients, by address.", "address") {
            mapOf("operators" to operators.size)
        }
        thread.load.registerGauges(metrics)
        thread.repeat(TICK, ::tick)
        duties.start()
        logger.info { "event=started role=core machine=${settings.machine} instance=${hello.instance}" }
    }

    private fun startOperatorServer(): Server {
        val endpoint = checkNotNull(settings.operators) { "a core needs an address for operators" }
        val service =
            OperatorHttp(dialect, jobs, machine, host, links, retirements, scope, endpoint.port, operatorMemory)
        val server = operators.newServer(endpoint, metrics.serviceOr(service))
            .gracefulShutdownTimeoutMillis(0, OperatorHttp.ANSWER_TIMEOUT.inWholeMilliseconds)
            .build()
        server.start().join()
        return server
    }

    override fun reload(settings: GatewaySettings): Unit = members.useSeeds(ReplicaGroup.seedsOf(settings))

    override fun stop() {
        logger.info { "event=stopping role=core machine=${settings.machine}" }
        // The process may be stopped before start() completes, while it waits for the disk.
        if (!::operatorServer.isInitialized) return
        host.handOver()
        runBlocking {
            delay(HAND_OVER_TIME)
            operatorServer.stop().await()
            linkServer.stop("stopping")
        }
        host.close()
        links.close()
        thread.close()
        scope.cancel()
        logger.info { "event=stopped role=core machine=${settings.machine}" }
    }

    /** Makes the recorded crashes known to all processes; those that start learn of them before they serve. */
    private fun restoreCrashes(): Unit = crashReports.restore(machine.crashes.all, System.currentTimeMillis())

    private fun tick() {
        val status = host.status
        members.tick(status, retiring(), clock())
        duties.tick(status)
        retirements.tick(retiring(), clock())
        memory.tick(clock()) { currentSize(status) }
    }

    private fun currentSize(status: GroupStatus): CoreSize {
        val jobRecords = machine.jobs
        return CoreSize(
            log = status.log,
            jobs = jobRecords.size,
            resultBytes = jobRecords.sumOf { it.resultBytes },
            bodyBytes = jobRecords.sumOf { it.bodyBytes },
            textBytes = jobRecords.sumOf { it.textBytes },
            waiting = host.waiting,
            unsent = links.unsent,
            calls = links.callsInProgress,
            runs = duties.runSize,
        )
    }

    private fun heartbeat() = HeartbeatContent(
        settingsRevision = machine.configuration?.revision ?: Revision.NONE,
        isCaughtUp = host.status.isCaughtUp,
    )

    private fun retiring() = machine.retirements.values.map { it.instance }.toSet()

    override fun onConfiguration(configuration: StoredConfiguration) {
        links.notifyApplied(configuration.revision)
        logger.info { "event=configuration-applied revision=${configuration.revision}" }
        duties.onRoutes { routesOf(configuration) }
    }

    private fun routesOf(configuration: StoredConfiguration): RouteTable? =
        dialect.configuration(DocumentCompression.expand(configuration.document)).fold(
            {
                logger.error { "event=stored-configuration-invalid revision=${configuration.revision} fault=\"$it\"" }
                null
            },
            ::RouteTable,
        )

    override fun onJob(record: JobRecord) {
        jobs.onChanged(record)
        duties.onJob(record)
    }

    override fun onResults(record: JobRecord): Unit = jobs.onChanged(record)

    override fun onVersion(model: ModelName, version: WeightVersion) {
        logger.info { "event=version-named model=$model version=$version" }
        duties.onVersion(model, version)
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** Resolution of time-outs; events are processed immediately. */
        val TICK: Duration = 50.milliseconds

        /** Allows for the election of a successor, which takes a few round trips. */
        val HAND_OVER_TIME = 150.milliseconds
    }
}
