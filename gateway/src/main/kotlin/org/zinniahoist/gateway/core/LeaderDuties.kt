package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.ListReader
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.WeightLoader
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.settings.GatewaySettings
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceAnswer
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.ServiceReply
import kotlin.time.Duration.Companion.milliseconds

/** What the leader does beside answering calls: it runs the batch jobs, gives weight orders and reads the list. */
internal class LeaderDuties(
    private val settings: GatewaySettings,
    dialect: PlatformDialect,
    private val machine: ServiceStateMachine,
    private val jobs: JobCalls,
    private val links: CoreLinks,
    private val scope: CoroutineScope,
    private val thread: EngineThread,
    private val clock: () -> Moment,
    metrics: GatewayMetrics,
    private val host: () -> GroupHost,
) {
    private val calls = UpstreamCalls(dialect.headers, metrics)
    private val listReader = ListReader(dialect.paths, dialect::listPage, calls, settings.listEndpoint)
    private val leadership = Leadership()
    private val engine = BatchEngine(
        dialect,
        calls,
        machine,
        { job, result, onReply -> propose(ServiceCommand.RecordResults(job, listOf(result)), onReply) },
        { job, parts, onReply -> propose(ServiceCommand.RecordTexts(job, parts), onReply) },
        thread::post,
        clock,
        System::currentTimeMillis,
        metrics,
    )
    private val loader = WeightLoader(engine.board)
    private val models = ModelLog(metrics)
    private var unreadRoutes: (() -> RouteTable?)? = null
    private val orders = WeightOrders(dialect, calls, loader, scope, thread::post, clock, ::confirmLeadership, metrics)

    /** What the runs of items hold in memory. Read on the engine's thread. */
    val runSize: RunSize get() = RunSize(engine.runningItems, engine.unlistedResults, engine.textCharacters)

    /** Starts to read the platform's list while this replica leads. */
    fun start() {
        scope.launch { readList() }
    }

    /** Does what is due. Runs on the engine's thread. */
    fun tick(status: GroupStatus) {
        if (!status.isLeader) links.upstreams.stop()
        carryOut(leadership.onStatus(status.isLeader, status.term))
        if (!leadership.isActive) return
        engine.tick()
        orders.tick(engine.needsSingleVersion(), engine::demand)
        models.tick(clock(), loader::upstreamsOfModels, engine::workOf, engine::lateJobs)
    }

    /**
     * The routes in force have changed; [read] returns them, or null if they can't be read. Routes that are not needed
     * are not read: a replica that starts passes all earlier ones.
     */
    fun onRoutes(read: () -> RouteTable?): Unit = thread.post {
        unreadRoutes = read
        if (leadership.isActive) readRoutes()
    }

    private fun readRoutes() {
        val read = unreadRoutes ?: return
        unreadRoutes = null
        engine.routes = read()
    }

    /** A job was accepted or ended. */
    fun onJob(record: JobRecord): Unit = thread.post { engine.onJob(record) }

    /** New weights of [model] were named. */
    fun onVersion(model: ModelName, version: WeightVersion): Unit = thread.post { loader.onNamed(model, version) }

    private fun carryOut(actions: List<LeadershipAction>): Unit = actions.forEach { action ->
        when (action) {
            is LeadershipAction.Release -> release()
            is LeadershipAction.DrawFence -> scope.launch { drawFence(action.term) }
            is LeadershipAction.Take -> take(action)
        }
    }

    private fun release() {
        orders.right = null
        engine.deactivate()
        loader.clear()
        models.clear()
        val status = host().status
        logger.info { "event=jobs-released term=${status.term} leader=${status.leader}" }
    }

    /** The fence is drawn by a command, so that all earlier commands are applied here when it is known. */
    private suspend fun drawFence(term: Long) {
        val command = StateCodec.encode<ServiceCommand>(ServiceCommand.DrawFence(settings.machine))
        val answer = host().propose(command).await()
        val drawn = answer.getOrNull()?.let { StateCodec.decode<ServiceAnswer>(it) as? ServiceAnswer.Fence }
        thread.post { carryOut(leadership.onFence(term, drawn?.token)) }
    }

    private fun take(action: LeadershipAction.Take) {
        orders.right = OrderRight(settings.machine, action.fence, from = clock() + settings.orderLease)
        machine.versions.forEach { (model, version) -> loader.onNamed(model, version) }
        readRoutes()
        engine.activate()
        logger.info { "event=jobs-taken term=${action.term} fence=${action.fence} jobs=${machine.jobs.size}" }
    }

    private suspend fun confirmLeadership(): Boolean = host().query(ByteArray(0)).await().isRight()

    private fun propose(command: ServiceCommand, onReply: (ServiceReply) -> Unit) {
        scope.launch {
            val reply = jobs.propose(command)
            thread.post { onReply(reply) }
        }
    }

    private suspend fun readList() {
        while (true) {
            val reading = links.upstreams.begin(clock())
            if (host().status.isLeader) listReader.readGuarded { onList(reading, it) }
            delay(if (host().status.isLeader) LIST_INTERVAL else LEADER_CHECK)
        }
    }

    private fun onList(reading: UpstreamPublisher.Reading, entries: List<ListedUpstream>) {
        links.upstreams.publish(reading, entries, clock())
        thread.post { engine.relist(entries) }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** An upstream that leaves is known within this time and the lag of the list. */
        val LIST_INTERVAL = 1_000.milliseconds

        /** A new leader reads the list this soon. */
        val LEADER_CHECK = 50.milliseconds
    }
}
