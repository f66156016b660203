package org.zinniahoist.gateway.core

import arrow.core.Either
import com.linecorp.armeria.server.Server
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.consensus.ReplicaTransport
import org.zinniahoist.gateway.GatewayProcess
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.link.DocumentCompression
import org.zinniahoist.gateway.link.PeerLinks
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.ListReader
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.WeightLoader
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.settings.GatewaySettings
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceAnswer
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceListener
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.state.service.StoredConfiguration
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.LinkServer
import org.zinniahoist.wire.ServiceMessage
import org.zinniahoist.wire.ServiceReply
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The role `core`: a replica of the service group; the leader runs the batch jobs. */
internal class CoreProcess(
    private val settings: GatewaySettings,
    private val dialect: PlatformDialect,
    private val clock: () -> Moment,
) : GatewayProcess,
    ServiceListener {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val engineThread = Executors.newSingleThreadScheduledExecutor {
        Thread(it, "engine").apply { isDaemon = true }
    }
    private val machine = ServiceStateMachine(this)
    private val jobs = JobCalls(dialect, machine) { host }
    private val hello = LinkMessage.Hello(
        protocolVersion = LinkLimits.PROTOCOL_VERSION,
        instance = ReplicaGroup.instanceOf(settings),
        incarnation = Incarnation(System.currentTimeMillis()),
        failureDomain = FailureDomain(settings.failureDomain, Region(settings.region)),
        roles = setOf(Role.CONTROL),
    )
    private val metrics = GatewayMetrics()
    private val links = CoreLinks(settings.machine, hello, jobs, scope, clock)
    private val calls = UpstreamCalls(dialect.headers, metrics)
    private val listReader = ListReader(dialect.paths, dialect::listPage, calls, settings.listEndpoint)
    private val engine = BatchEngine(
        dialect,
        calls,
        machine,
        { job, result -> scope.launch { record(job, result) } },
        ::post,
        clock,
        System::currentTimeMillis,
        metrics,
    )
    private val loader = WeightLoader(engine.board)
    private val orders = WeightOrders(dialect, calls, loader, scope, ::post, clock, ::confirmLeadership, metrics)
    private val linkServer = LinkServer(
        Endpoint(settings.address, settings.linkPort),
        hello,
        links,
        { HeartbeatContent(settingsRevision = machine.configuration?.revision ?: Revision.NONE) },
        clock,
        PeerLinks.LIMITS,
    )
    private lateinit var host: GroupHost
    private lateinit var retirements: Retirements
    private lateinit var operatorServer: Server

    /** Term in which this replica runs the jobs, or null. */
    private var activeTerm: Long? = null
    private var lastIntroduced: Pair<Set<InstanceName>, Set<InstanceName>>? = null

    override fun start() {
        host = ReplicaGroup.open(settings, machine, ReplicaTransport(links::send))
        retirements = Retirements(host, 2 * settings.toleratedLosses + 1)
        links.host = host
        runBlocking { linkServer.start() }
        operatorServer = startOperatorServer()
        metrics.gauge("zinniahoist_leads", "1 while this replica leads the service group.") {
            if (host.status.isLeader) 1 else 0
        }
        engineThread.scheduleWithFixedDelay(::guardedTick, 0, TICK.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        scope.launch { readList() }
        logger.info { "event=started role=core machine=${settings.machine} instance=${hello.instance}" }
    }

    private fun startOperatorServer(): Server {
        val endpoint = checkNotNull(settings.operators) { "a core needs an address for operators" }
        val service = OperatorHttp(dialect, jobs, machine, host, links, retirements, scope, endpoint.port)
        val server = Server.builder()
            .http(InetSocketAddress(endpoint.host, endpoint.port))
            .maxRequestLength(MAXIMUM_BODY_BYTES)
            .requestTimeoutMillis(0)
            .service(GatewayMetrics.PATH, metrics.service())
            .serviceUnder("/", service)
            .build()
        server.start().join()
        return server
    }

    override fun stop() {
        logger.info { "event=stopping role=core machine=${settings.machine}" }
        host.handOver()
        runBlocking {
            delay(HAND_OVER_TIME)
            operatorServer.stop().await()
            linkServer.stop("stopping")
        }
        host.close()
        links.close()
        engineThread.shutdownNow()
        scope.cancel()
        logger.info { "event=stopped role=core machine=${settings.machine}" }
    }

    private fun post(task: () -> Unit) {
        engineThread.execute {
            try {
                task()
            } catch (fault: Exception) {
                logger.error(fault) { "event=engine-task-failed" }
            }
        }
    }

    private fun guardedTick() = try {
        tick()
    } catch (fault: Exception) {
        logger.error(fault) { "event=engine-tick-failed" }
    }

    private fun tick() {
        val status = host.status
        followMembers(status)
        followLeadership(status)
        retirements.tick(retiring(), clock())
        if (activeTerm != null) {
            engine.tick()
            orders.tick(engine.needsSingleVersion(), engine::openTokens)
        }
    }

    private fun retiring() = machine.retirements.values.map { it.instance }.toSet()

    private fun followMembers(status: GroupStatus) {
        val members = status.configuration.members.map { it.address.instance }
        val known = members.toSet() + ReplicaGroup.seedsOf(settings)
        val introduced = known to retiring()
        if (introduced != lastIntroduced) host.introduce(known, introduced.second)
        lastIntroduced = introduced
        links.update(known, ServiceMessage.Members(members.distinct(), status.leader))
    }

    private fun followLeadership(status: GroupStatus) {
        if (status.isLeader && activeTerm != status.term) {
            activeTerm = status.term
            scope.launch { activate(status.term) }
        }
        if (!status.isLeader && activeTerm != null) {
            activeTerm = null
            orders.right = null
            engine.deactivate()
            loader.clear()
            links.stopPublishing()
            logger.info { "event=jobs-released term=${status.term} leader=${status.leader}" }
        }
    }

    /** The fence is drawn by a command, so that all earlier commands are applied here when it is known. */
    private suspend fun activate(term: Long) {
        val command = StateCodec.encode<ServiceCommand>(ServiceCommand.DrawFence(settings.machine))
        val answer = host.propose(command).await()
        val fence = (answer as? Either.Right)?.let {
            StateCodec.decode<ServiceAnswer>(it.value) as? ServiceAnswer.Fence
        }
        post {
            if (activeTerm != term) return@post
            if (fence == null) {
                activeTerm = null
                return@post
            }
            orders.right = OrderRight(settings.machine, fence.token, from = clock() + settings.orderLease)
            machine.versions.forEach { (model, version) -> loader.onNamed(model, version) }
            engine.activate()
            logger.info { "event=jobs-taken term=$term fence=${fence.token} jobs=${machine.jobs.size}" }
        }
    }

    private suspend fun confirmLeadership(): Boolean = host.query(ByteArray(0)).await().isRight()

    private suspend fun record(job: JobIdentifier, result: ItemResult) {
        while (true) {
            val reply = jobs.propose(ServiceCommand.RecordResults(job, listOf(result)))
            if (reply is ServiceReply.Done || !host.status.isLeader) return
            logger.warn { "event=result-not-recorded job=$job item=${result.item} reply=${reply::class.simpleName}" }
            if (reply is ServiceReply.NotFound) return
            delay(RECORD_RETRY)
        }
    }

    private suspend fun readList() {
        while (true) {
            if (host.status.isLeader) listReader.read()?.let(::onList)
            delay(if (host.status.isLeader) LIST_INTERVAL else LEADER_CHECK)
        }
    }

    private fun onList(entries: List<ListedUpstream>) {
        links.publish(entries)
        post { engine.relist(entries) }
    }

    override fun onConfiguration(configuration: StoredConfiguration) {
        links.announce(configuration.revision)
        logger.info { "event=configuration-applied revision=${configuration.revision}" }
        post { engine.routes = routesOf(configuration) }
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
        jobs.onJob(record)
        post { if (orders.right != null) engine.onJob(record) }
    }

    override fun onVersion(model: ModelName, version: WeightVersion) {
        logger.info { "event=version-named model=$model version=$version" }
        post { loader.onNamed(model, version) }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** Events are handled as they come; only time-outs wait for a tick. */
        val TICK: Duration = 50.milliseconds

        /** An upstream that leaves is known within this time and the lag of the list. */
        val LIST_INTERVAL = 1_000.milliseconds

        /** A new leader reads the list this soon. */
        val LEADER_CHECK = 50.milliseconds
        val RECORD_RETRY = 100.milliseconds

        /** The successor is elected within a few round trips. */
        val HAND_OVER_TIME = 150.milliseconds

        /** The largest body that operators announce. */
        const val MAXIMUM_BODY_BYTES = 34L shl 20
    }
}
