package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.launch
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.gateway.dialect.DutyDialect
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.CrashMonitor
import org.zinniahoist.gateway.upstream.ListReader
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DispatchOptions
import org.zinniahoist.policy.dispatch.ItemOrderKind
import org.zinniahoist.policy.dispatch.PlacementKind
import org.zinniahoist.policy.dispatch.WeightLoader
import org.zinniahoist.policy.duty.DemandCountPolicy
import org.zinniahoist.policy.duty.UsageWindows
import org.zinniahoist.policy.liveness.LeavingUpstreams
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.settings.GatewaySettings
import org.zinniahoist.settings.ItemOrderSetting
import org.zinniahoist.settings.PlacementSetting
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceAnswer
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.ServiceReply
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the leader's background work: batch jobs, weight orders and reads of the platform's upstream list.
 *
 * @param restoreCrashes called before the leader begins, once all earlier commands are applied.
 */
internal class LeaderTasks(
    private val settings: GatewaySettings,
    dialect: PlatformDialect,
    private val machine: ServiceStateMachine,
    private val jobs: JobCallHandler,
    private val links: CoreLinks,
    private val scope: CoroutineScope,
    private val thread: EngineThread,
    private val clock: () -> Moment,
    private val metrics: GatewayMetrics,
    crashes: CrashMonitor,
    private val leaving: LeavingUpstreams,
    private val restoreCrashes: () -> Unit = {},
    usage: UsageReceiver = UsageReceiver(machine.usage),
    private val host: () -> GroupHost,
) {
    private val calls = UpstreamCalls(dialect.headers, metrics, ::onLeaving)
    private val listReader = ListReader(dialect.paths, dialect::listPage, calls, settings.listEndpoint)
    private val leadership = Leadership()
    private val engine = BatchEngine(
        dialect,
        calls,
        machine,
        { job, result, onReply -> propose(ServiceCommand.RecordResults(job, listOf(result)), onReply) },
        { job, parts, onReply -> propose(ServiceCommand.RecordTexts(job, parts), onReply) },
        { job, failures, onReply -> propose(ServiceCommand.RecordFailures(job, failures), onReply) },
        thread::post,
        clock,
        System::currentTimeMillis,
        metrics,
        RewardCalls(dialect.headers, calls, machine, scope, crashes),
        options = dispatchOptions(settings),
    )
    private val crashRecorder =
        CrashRecorder(crashes, machine.crashes, clock) { command, onReply -> propose(command) { onReply() } }
    private val loader = WeightLoader(engine.registry)
    private val models = ModelLog(metrics)
    private var pendingRoutes: (() -> RouteTable?)? = null
    private val duties = if (settings.duties.names.isEmpty()) null else leaderDuties(dialect.duties, usage)
    private val orders = WeightOrders(dialect, calls, loader, scope, thread::post, clock, ::confirmLeadership, metrics)

    /** Sizes of the in-memory state of item runs. Must be read on the engine thread. */
    val runSize: RunSize get() = RunSize(engine.runningItems, engine.unlistedResults, engine.textCharacters)

    /** Prepares calls to upstreams, and starts the loop that reads the platform's list of them while this leads. */
    fun start() {
        scope.launch { calls.prepare() }
        scope.launch { readList() }
    }

    /** Applies a change of leadership and performs the leader's due work. Runs on the engine thread. */
    fun tick(status: GroupStatus) {
        if (!status.isLeader) links.upstreams.stop()
        execute(leadership.onStatus(status.isLeader, status.term))
        duties?.tick(leadership.isActive, clock())
        if (!leadership.isActive) return
        engine.tick()
        crashRecorder.tick()
        orders.tick(engine.needsSingleVersion(), engine::demand)
        models.tick(clock(), loader::modelUpstreams, engine::workOf, engine::lateJobs)
    }

    /**
     * Handles new routes; [read] decodes them, or returns null if they are invalid. They are decoded only when needed,
     * because a starting replica replays all earlier configurations.
     */
    fun onRoutes(read: () -> RouteTable?): Unit = thread.post {
        pendingRoutes = read
        if (leadership.isActive) readRoutes()
    }

    private fun readRoutes() {
        val read = pendingRoutes ?: return
        pendingRoutes = null
        engine.routes = read()
    }

    /** Handles the acceptance or end of a job. */
    fun onJob(record: JobRecord): Unit = thread.post { engine.onJob(record) }

    /** Handles a new current weight [version] of [model]. */
    fun onVersion(model: ModelName, version: WeightVersion): Unit = thread.post { loader.onPublished(model, version) }

    private fun execute(actions: List<LeadershipAction>): Unit = actions.forEach { action ->
        when (action) {
            is LeadershipAction.Deactivate -> deactivate()
            is LeadershipAction.ObtainFence -> scope.launch { obtainFence(action.term) }
            is LeadershipAction.Activate -> activate(action)
        }
    }

    private fun deactivate() {
        orders.authority = null
        duties?.deactivate()
        engine.deactivate()
        loader.clear()
        models.clear()
        val status = host().status
        logger.info { "event=jobs-released term=${status.term} leader=${status.leader}" }
    }

    /** Obtains the fencing token through the log, so that all earlier commands are applied before it is known. */
    private suspend fun obtainFence(term: Long) {
        val token = drawFence()
        thread.post { execute(leadership.onFence(term, token)) }
    }

    private suspend fun drawFence(): FencingToken? {
        val command = StateCodec.encode<ServiceCommand>(ServiceCommand.DrawFence(settings.machine))
        val answer = host().propose(command).await()
        return answer.getOrNull()?.let { StateCodec.decode<ServiceAnswer>(it) as? ServiceAnswer.Fence }?.token
    }

    private fun activate(action: LeadershipAction.Activate) {
        val authority = OrderAuthority(
            settings.machine,
            action.fence,
            from = clock() + settings.orderLease,
            lease = settings.orderLease,
        )
        orders.authority = authority
        duties?.activate(authority, action.term)
        machine.versions.forEach { (model, version) -> loader.onPublished(model, version) }
        readRoutes()
        // The reward calls of this leader must not crash upstreams again.
        restoreCrashes()
        // Upstreams of a list that was read in an earlier term may be gone.
        if (leaving.listAge(clock())?.let { it > MAXIMUM_LIST_AGE } == true) engine.updateUpstreams(emptyList())
        engine.activate()
        logger.info { "event=jobs-taken term=${action.term} fence=${action.fence} jobs=${machine.jobs.size}" }
    }

    private fun leaderDuties(dialect: DutyDialect, usage: UsageReceiver): LeaderDuties {
        val dutyCalls = DutyCalls(
            dialect,
            scope,
            thread::post,
            clock,
            ::confirmLeadership,
            ::drawFence,
            { headers, body ->
                calls.wholeOnOwnConnection(settings.listEndpoint, headers, body, DutyCalls.CALL_TIMEOUT)?.status
            },
        )
        val isReportingUsage = dialect.usageReports in settings.duties.names
        val usageDuty = if (isReportingUsage) usageDuty(dialect, usage, dutyCalls) else null
        val isOrderingCounts = dialect.upstreamCounts in settings.duties.names
        val countDuty = if (isOrderingCounts) countDuty(dialect, usage, dutyCalls) else null
        return LeaderDuties(dutyCalls, usageDuty, countDuty)
    }

    private fun usageDuty(dialect: DutyDialect, usage: UsageReceiver, dutyCalls: DutyCalls) = UsageDuty(
        dialect,
        UsageWindows(settings.duties.reportWindow, settings.duties.reportLateness),
        LeaderDuties.callInterval(settings.duties),
        machine.usage,
        usage.aggregator,
        scope,
        thread::post,
        clock,
        dutyCalls::send,
        { command, onReply -> propose(command) { onReply() } },
        metrics,
    )

    private fun countDuty(dialect: DutyDialect, usage: UsageReceiver, dutyCalls: DutyCalls): UpstreamCountDuty {
        val demand = UpstreamDemand({ machine.jobs }, engine.registry, usage.live)
        return UpstreamCountDuty(
            dialect,
            DemandCountPolicy(),
            { now -> engine.routes?.let { demand.services(it, now) }.orEmpty() },
            LeaderDuties.callInterval(settings.duties),
            scope,
            thread::post,
            clock,
            dutyCalls::send,
            metrics,
        )
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
            val read = links.upstreams.beginRead(clock())
            if (host().status.isLeader) listReader.readAndApply { onList(read, it) }
            delay(if (host().status.isLeader) LIST_INTERVAL else LEADERSHIP_CHECK_INTERVAL)
        }
    }

    private fun onList(read: UpstreamPublisher.ListRead, entries: List<ListedUpstream>) {
        links.upstreams.publish(read, entries, clock())
        thread.post { engine.updateUpstreams(leaving.onListed(entries, clock())) }
    }

    private fun onLeaving(upstream: UpstreamIdentity) {
        val now = clock()
        if (!leaving.onNotice(upstream, now)) return
        logger.info { "event=upstream-leaving upstream=$upstream source=response list-age=${leaving.listAge(now)}" }
        metrics.onEvent("upstream_leaving", "response")
        thread.post { engine.registry.onLeaving(upstream) }
    }

    private companion object {
        fun dispatchOptions(settings: GatewaySettings) = DispatchOptions(
            itemOrder = when (settings.scheduling.itemOrder) {
                ItemOrderSetting.DUE_TIME -> ItemOrderKind.DUE_TIME
                ItemOrderSetting.FAIR_SHARE -> ItemOrderKind.FAIR_SHARE
            },
            placement = when (settings.scheduling.placement) {
                PlacementSetting.SLOTS -> PlacementKind.SLOTS
                PlacementSetting.MEMORY -> PlacementKind.MEMORY
            },
        )

        val logger = KotlinLogging.logger {}

        /** Interval between reads of the list; bounds, with the list's own lag, how late a removal is detected. */
        val LIST_INTERVAL = 1_000.milliseconds

        /** Age from which a new leader runs no items on the upstreams of a list; a read may take longer than usual. */
        val MAXIMUM_LIST_AGE = 3.seconds

        /** Interval at which a follower checks for leadership; bounds the delay of a new leader's first read. */
        val LEADERSHIP_CHECK_INTERVAL = 50.milliseconds
    }
}
