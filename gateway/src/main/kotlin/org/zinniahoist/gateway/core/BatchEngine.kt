package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.dispatch.CancelledJob
import org.zinniahoist.policy.dispatch.DispatchAction
import org.zinniahoist.policy.dispatch.ItemDispatcher
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.LateJob
import org.zinniahoist.policy.dispatch.ModelDemand
import org.zinniahoist.policy.dispatch.ModelWork
import org.zinniahoist.policy.dispatch.RunEnd
import org.zinniahoist.policy.dispatch.UpstreamBoard
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceStateMachine
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the items of all jobs on the upstreams while this replica leads. All functions run on the engine's thread.
 *
 * The replicated record decides what is open. Each open item is held by the dispatcher or its result is on its way;
 * what is neither is found by a comparison with the record at each reconciliation and begun again.
 */
internal class BatchEngine(
    private val dialect: PlatformDialect,
    calls: UpstreamCalls,
    private val machine: ServiceStateMachine,
    log: ResultLog,
    textLog: TextLog,
    private val post: (TaskKind, () -> Unit) -> Unit,
    private val clock: () -> Moment,
    wallMilliseconds: () -> Long,
    private val metrics: GatewayMetrics,
    random: Random = Random.Default,
    private val runs: RunConnections = ItemRuns(dialect.headers, calls, machine),
) {
    val board = UpstreamBoard()
    private val dispatcher = ItemDispatcher(board)
    private val waits = WaitLog(metrics)
    private val readings = AnswerReadings(dispatcher, runs) { post(TaskKind.READING, it) }
    private val recorder = ResultRecorder(log, metrics)
    private val textRecorder = TextRecorder(machine, textLog, metrics)
    private val ages = JobAges()
    private val planner = JobPlanner(machine, ages, wallMilliseconds, random)
    private val demands = JobDemands(wallMilliseconds)

    /** Jobs whose items were given to the dispatcher, with the services to which their route allowed these to go. */
    private val begun = HashMap<JobIdentifier, Set<ServiceName>>()

    /** Open jobs without a route, each of which is reported once. */
    private val unrouted = HashSet<JobIdentifier>()
    private var nextReconciliation: Moment? = null
    private var isActive = false

    /** The routes in force, or null before the first configuration. */
    var routes: RouteTable? = null
        set(value) {
            field = value
            // A configuration that can't be read takes no routes away.
            if (isActive && value != null) withdrawUnrouted()
        }

    fun relist(entries: List<ListedUpstream>) = board.relist(entries)

    /** Runs in progress. */
    val runningItems: Int get() = dispatcher.runningItems

    /** Results that are not listed yet. */
    val unlistedResults: Int get() = recorder.size

    /** Characters of the texts of unfinished items. */
    val textCharacters: Long get() = dispatcher.textCharacters

    /** Begins to run what is open. Nothing of an earlier term goes on. */
    fun activate() {
        deactivate()
        isActive = true
        tick()
    }

    /** Ends all runs. */
    fun deactivate() {
        isActive = false
        nextReconciliation = null
        begun.clear()
        unrouted.clear()
        recorder.clear()
        textRecorder.clear()
        carryOut(dispatcher.clear())
        waits.clear()
    }

    /** A job was accepted or ended. */
    fun onJob(record: JobRecord) {
        val identifier = record.job.identifier
        if (record.isEnded) ages.forget(identifier) else ages.learn(identifier, clock())
        demands.onJob(record, clock())
        if (!isActive) return
        if (record.isEnded) {
            if (identifier in begun) end(identifier)
        } else if (identifier !in begun) {
            begin(record, clock())
            tick()
        }
    }

    /** True if an open job of the model wants each sample from the same weights. */
    fun needsSingleVersion(): Boolean = machine.jobs.any { record ->
        !record.isEnded && routes?.find(record.job.host, record.job.path)?.batch?.singleVersion == true
    }

    /** Returns the open items of [model]. */
    fun workOf(model: ModelName): ModelWork = dispatcher.workOf(model, clock())

    /** Returns the jobs that are due and have items without a result. */
    fun lateJobs(): List<LateJob> = dispatcher.lateJobs(clock())

    /** Returns what the jobs of [model] ask of the upstreams. */
    fun demand(model: ModelName): ModelDemand = demands.of(model, clock())

    /** Carries out what is due now. */
    fun tick() {
        if (!isActive) return
        val now = clock()
        if (nextReconciliation?.let { now >= it } != false) reconcile(now)
        recorder.tick(now)
        carryOut(dispatcher.tick(now, readings.tick(now)))
        textRecorder.tick(now, dispatcher::texts)
        waits.observe(dispatcher.longestWait(now), dispatcher.waitingItems, now) { dispatcher.oldestWaiting(now) }
    }

    private fun reconcile(now: Moment) {
        nextReconciliation = now + RECONCILIATION_INTERVAL
        val open = machine.jobs.filter { !it.isEnded }
        val identifiers = open.map { it.job.identifier }.toSet()
        identifiers.forEach { ages.learn(it, now) }
        ages.retain(identifiers)
        demands.retainOpen(identifiers)
        (begun.keys - identifiers).forEach(::end)
        open.sortedBy { it.submittedMilliseconds }.forEach { beginGuarded(it, now) }
    }

    /** A job that can't be begun must not keep the others from it. */
    private fun beginGuarded(record: JobRecord, now: Moment) = try {
        begin(record, now)
    } catch (fault: Exception) {
        logger.error(fault) { "event=job-not-begun job=${record.job.identifier}" }
    }

    /** Begins the items of [record] that neither the dispatcher nor the recorder holds. */
    private fun begin(record: JobRecord, now: Moment) {
        val job = record.job
        val open = record.openItems().filter {
            val key = ItemKey(job.identifier.value, it.identifier)
            key !in dispatcher && key !in recorder
        }
        if (open.isEmpty() && job.identifier in begun) return
        val route = routeOf(record) ?: return
        unrouted.remove(job.identifier)
        val plan = planner.plan(record, route, open, now)
        val isFirst = begun.put(job.identifier, route.services) == null
        logger.info {
            "event=${if (isFirst) "job-begun" else "items-begun-again"} job=${job.identifier} " +
                "model=${job.step?.model} step=${job.step?.step} items=${job.items.size} open=${open.size} " +
                "reused=${plan.reused.size} resumed=${plan.resumed} " +
                "minimum-version=${job.step?.minimumVersion}"
        }
        if (!isFirst) metrics.onEvent("job", "begun_again")
        plan.reused.forEach { recorder.record(job.identifier, it, now) }
        dispatcher.submit(plan.work)
    }

    private fun routeOf(record: JobRecord): Route? {
        val job = record.job
        val route = routes?.find(job.host, job.path)?.takeIf { it.batch != null }
        if (route == null && unrouted.add(job.identifier)) {
            logger.warn { "event=job-without-route job=${job.identifier} host=${job.host} path=${job.path}" }
            metrics.onEvent("job", "without_route")
        }
        return route
    }

    /** Takes back the items that the routes no longer allow to go where they were placed. */
    private fun withdrawUnrouted() {
        val withdrawn = begun.filter { (job, services) ->
            val route = machine.job(job)?.let { routeOf(it) }
            route == null || !route.services.containsAll(services)
        }
        for (job in withdrawn.keys) {
            val cancelled = withdraw(job)
            logger.info { "event=job-withdrawn job=$job unfinished=${cancelled.texts.size}" }
        }
        if (withdrawn.isNotEmpty()) nextReconciliation = null
    }

    /** Ends the runs of [job] and keeps the text of its unfinished items. */
    private fun withdraw(job: JobIdentifier): CancelledJob {
        begun.remove(job)
        val cancelled = dispatcher.cancelJob(job.value)
        planner.keep(cancelled.texts)
        carryOut(cancelled.aborts)
        return cancelled
    }

    private fun end(job: JobIdentifier) {
        val cancelled = withdraw(job)
        val unlisted = recorder.forget(job)
        planner.keepResults(unlisted)
        logger.info { "event=job-ended job=$job unfinished=${cancelled.texts.size} unlisted=${unlisted.size}" }
    }

    private fun carryOut(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Start -> start(action)
                is DispatchAction.Abort -> runs.abort(action.run, action.reason)
                is DispatchAction.Finish -> finish(action)
            }
        }
    }

    private fun start(action: DispatchAction.Start) {
        logger.info {
            "event=run-started run=${action.run} item=${action.key.item} job=${action.key.job} " +
                "upstream=${action.upstream.identity} after=${action.afterEvent} waiting=${dispatcher.waitingItems}"
        }
        runs.start(action, PostedRunObserver(action.run, dispatcher, post, clock, ::carryOut, ::onEnd))
    }

    private fun finish(action: DispatchAction.Finish) {
        planner.forget(action.key.item)
        val text = action.text
        val output = if (action.isCompleted) text.events.joinToString("\n") else ""
        val versions = if (action.isCompleted) text.versions else emptyList()
        logger.info {
            "event=item-finished item=${action.key.item} job=${action.key.job} outcome=\"${action.reason}\" " +
                "events=${text.events.size} versions=${versions.joinToString(",")}"
        }
        metrics.onEvent("item", if (action.isCompleted) "completed" else "given_up")
        val result = ItemResult(action.key.item, action.isCompleted, output, versions)
        recorder.record(JobIdentifier(action.key.job), result, clock())
    }

    private fun onEnd(run: Long, end: RunEnd) {
        runs.forget(run)
        metrics.onEvent("run", end.javaClass.simpleName)
        val now = clock()
        carryOut(dispatcher.onEnd(run, end, now))
        // What is due by time waits for the next tick; runs end far more often.
        if (isActive) carryOut(dispatcher.place(now))
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** Bounds the time for which an open item may be held by nobody. */
        val RECONCILIATION_INTERVAL = 1.seconds
    }
}
