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
import org.zinniahoist.policy.dispatch.DispatchOptions
import org.zinniahoist.policy.dispatch.ItemDispatcher
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.ModelBacklog
import org.zinniahoist.policy.dispatch.ModelDemand
import org.zinniahoist.policy.dispatch.OverdueJob
import org.zinniahoist.policy.dispatch.RunEnd
import org.zinniahoist.policy.dispatch.UpstreamRegistry
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceStateMachine
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the items of all jobs on the upstreams while this replica is the leader. All functions run on the engine thread.
 *
 * The replicated state determines which items are open. Each open item is either held by the dispatcher or has a result
 * that is being recorded. Reconciliation compares both with the replicated state and dispatches missing items again.
 */
internal class BatchEngine(
    private val dialect: PlatformDialect,
    calls: UpstreamCalls,
    private val machine: ServiceStateMachine,
    log: ResultLog,
    textLog: TextLog,
    failureLog: FailureLog,
    private val post: (TaskKind, () -> Unit) -> Unit,
    private val clock: () -> Moment,
    wallMilliseconds: () -> Long,
    private val metrics: GatewayMetrics,
    rewardConnections: RewardConnections,
    random: Random = Random.Default,
    private val runs: RunConnections = ItemRuns(dialect.headers, calls, machine),
    options: DispatchOptions = DispatchOptions(),
) {
    val registry = UpstreamRegistry()
    private val dispatcher = ItemDispatcher(registry, options)
    private val waits = WaitReporter(metrics)
    private val shares = ShareReporter(metrics)
    private val readMonitor = ResponseReadMonitor(dispatcher, runs) { post(TaskKind.READING, it) }
    private val recorder = ResultRecorder(log, metrics)
    private val textRecorder = TextRecorder(machine, textLog, metrics)
    private val failures = FailureRecorder(machine, failureLog, metrics, clock, ::onFailureRecorded)
    private val rewards = ItemRewards(
        machine,
        textLog,
        registry,
        rewardConnections,
        post,
        clock,
        metrics,
        random,
        failures::onFailedRewardCall,
        ::onRewardResult,
    )
    private val ages = JobAgeTracker()
    private val planner = JobPlanner(machine, ages, wallMilliseconds, random)
    private val demands = JobDemandTracker(wallMilliseconds)
    private val jobRoutes = JobRoutes(metrics)

    /** Jobs whose items were submitted to the dispatcher, with the services that their route allowed. */
    private val dispatchedServices = HashMap<JobIdentifier, Set<ServiceName>>()

    private var nextReconciliation: Moment? = null
    private var isActive = false

    /** The routes in force, or null before the first configuration. */
    var routes: RouteTable?
        get() = jobRoutes.table
        set(value) {
            jobRoutes.table = value
            // An unreadable configuration (null) does not remove routes that are in use.
            if (value == null) return
            rewards.routes = value
            registry.engineMemory = value.engineMemory
            if (isActive) withdrawDisallowed()
        }

    fun updateUpstreams(entries: List<ListedUpstream>) = registry.relist(entries)

    /** Number of runs in progress. */
    val runningItems: Int get() = dispatcher.runningItems

    /** Number of results that are not yet committed to the log. */
    val unlistedResults: Int get() = recorder.size

    /** Total text length of unfinished items, in characters. */
    val textCharacters: Long get() = dispatcher.textCharacters + rewards.textCharacters

    /** Starts running the open items. Runs of an earlier term are aborted first. */
    fun activate() {
        deactivate()
        isActive = true
        tick()
    }

    /** Aborts all runs and clears the state of this term. */
    fun deactivate() {
        isActive = false
        nextReconciliation = null
        dispatchedServices.clear()
        jobRoutes.clear()
        failures.clear()
        recorder.clear()
        textRecorder.clear()
        rewards.clear()
        execute(dispatcher.clear())
        waits.clear()
        shares.clear()
    }

    /** Handles the acceptance or end of a job. */
    fun onJob(record: JobRecord) {
        val identifier = record.job.identifier
        if (record.isEnded) ages.remove(identifier) else ages.observe(identifier, clock())
        demands.onJob(record, clock())
        if (!isActive) return
        if (record.isEnded) {
            if (identifier in dispatchedServices) end(identifier)
        } else if (identifier !in dispatchedServices) {
            dispatch(record, clock())
            tick()
        }
    }

    /** Returns true if an open job requires each of its samples to be generated by a single weight version. */
    fun needsSingleVersion(): Boolean = machine.jobs.any { record ->
        !record.isEnded && jobRoutes.needsSingleVersion(record)
    }

    /** Returns the running and waiting items of [model]. */
    fun workOf(model: ModelName): ModelBacklog = dispatcher.workOf(model, clock())

    /** Returns the jobs past their due time that still have items without a result. */
    fun lateJobs(): List<OverdueJob> = dispatcher.lateJobs(clock())

    /** Returns the upstream capacity that the jobs of [model] require. */
    fun demand(model: ModelName): ModelDemand = demands.of(model, clock())

    /** Performs all work that is due now: reconciliation, result retries, dispatch and text recording. */
    fun tick() {
        if (!isActive) return
        val now = clock()
        if (nextReconciliation?.let { now >= it } != false) reconcile(now)
        recorder.tick(now)
        execute(dispatcher.tick(now, readMonitor.tick(now)))
        textRecorder.tick(now, dispatcher::texts)
        failures.tick()
        rewards.tick()
        waits.observe(dispatcher.longestWait(now), dispatcher.waitingItems, now) { dispatcher.oldestWaiting(now) }
        shares.observe(now, dispatcher::runningTokens)
    }

    private fun reconcile(now: Moment) {
        nextReconciliation = now + RECONCILIATION_INTERVAL
        val open = machine.jobs.filter { !it.isEnded }
        val identifiers = open.map { it.job.identifier }.toSet()
        identifiers.forEach { ages.observe(it, now) }
        ages.retain(identifiers)
        demands.retainOpen(identifiers)
        (dispatchedServices.keys - identifiers).forEach(::end)
        open.sortedBy { it.submittedMilliseconds }.forEach { dispatchSafely(it, now) }
    }

    /** Dispatches the items of one job; a failure is logged so that it does not block the other jobs. */
    private fun dispatchSafely(record: JobRecord, now: Moment) = try {
        dispatch(record, now)
    } catch (fault: Exception) {
        logger.error(fault) { "event=job-not-begun job=${record.job.identifier}" }
    }

    /** Dispatches the open items of [record] that no part of the engine holds. */
    private fun dispatch(record: JobRecord, now: Moment) {
        val job = record.job
        val open = record.openItems().filter {
            val key = ItemKey(job.identifier.value, it.identifier)
            key !in dispatcher && key !in recorder && key !in rewards && key !in failures
        }
        if (open.isEmpty() && job.identifier in dispatchedServices) return
        val route = jobRoutes.of(record) ?: return
        val plan = planner.plan(record, route, open, now, jobRoutes.priority(route, job.workspace))
        val isFirst = dispatchedServices.put(job.identifier, route.services) == null
        logger.info {
            "event=${if (isFirst) "job-begun" else "items-begun-again"} job=${job.identifier} " +
                "model=${job.step?.model} step=${job.step?.step} items=${job.items.size} open=${open.size} " +
                "$plan minimum-version=${job.step?.minimumVersion}"
        }
        if (!isFirst) metrics.onEvent("job", "begun_again")
        plan.reused.forEach { recorder.record(job.identifier, it, now) }
        rewards.expect(plan.rewards)
        plan.texts.forEach { rewards.onTextComplete(it.key, it.text, it.isRecorded) }
        dispatcher.submit(plan.work)
    }

    /** Withdraws jobs whose route was removed or no longer includes all services that their items may run on. */
    private fun withdrawDisallowed() {
        val withdrawn = dispatchedServices.filter { (job, services) ->
            val route = machine.job(job)?.let(jobRoutes::of)
            route == null || !route.services.containsAll(services)
        }
        for (job in withdrawn.keys) {
            val cancelled = withdraw(job)
            logger.info { "event=job-withdrawn job=$job unfinished=${cancelled.texts.size}" }
        }
        if (withdrawn.isNotEmpty()) nextReconciliation = null
    }

    /** Aborts the runs and reward calls of [job] and retains the texts of its unfinished items. */
    private fun withdraw(job: JobIdentifier): CancelledJob {
        dispatchedServices.remove(job)
        val cancelled = dispatcher.cancelJob(job.value)
        planner.retainTexts(job, cancelled.texts)
        planner.retainResults(job, rewards.cancelJob(job.value))
        execute(cancelled.aborts)
        return cancelled
    }

    private fun end(job: JobIdentifier) {
        val cancelled = withdraw(job)
        val unlisted = recorder.forget(job)
        failures.forget(job)
        planner.retainResults(job, unlisted)
        logger.info { "event=job-ended job=$job unfinished=${cancelled.texts.size} unlisted=${unlisted.size}" }
    }

    private fun execute(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Start -> start(action)
                is DispatchAction.Abort -> runs.abort(action.run, action.reason)
                is DispatchAction.RecordFailure -> failures.onFailedRun(action.key, action.failures)
                is DispatchAction.Finish -> finish(action)
            }
        }
    }

    private fun start(action: DispatchAction.Start) {
        logger.info {
            "event=run-started run=${action.run} item=${action.key.item} job=${action.key.job} " +
                "upstream=${action.upstream.identity} after=${action.afterEvent} waiting=${dispatcher.waitingItems}"
        }
        runs.start(action, EngineThreadRunObserver(action.run, dispatcher, post, clock, ::execute, ::onEnd))
    }

    private fun finish(action: DispatchAction.Finish) {
        planner.discardText(action.key)
        val text = action.text
        val output = if (action.isCompleted) text.output else ""
        val versions = if (action.isCompleted) text.versions else emptyList()
        logger.info {
            "event=item-finished item=${action.key.item} job=${action.key.job} outcome=\"${action.reason}\" " +
                "events=${text.events.size} versions=${versions.joinToString(",")}"
        }
        metrics.onEvent("item", if (action.isCompleted) "completed" else "given_up")
        if (action.isCompleted && needsReward(action.key)) {
            rewards.onTextComplete(action.key, text, isRecorded = false)
            return
        }
        rewards.discard(action.key)
        val result = ItemResult(action.key.item, action.isCompleted, output, versions)
        recorder.record(JobIdentifier(action.key.job), result, clock())
    }

    /** Continues the item with [key], whose failed run or reward call is recorded. */
    private fun onFailureRecorded(key: ItemKey) {
        val record = machine.job(JobIdentifier(key.job)) ?: return
        logger.info {
            "event=failure-recorded item=${key.item} job=${key.job} failures=\"${record.failures(key.item)}\""
        }
        execute(dispatcher.onFailureRecorded(key, jobRoutes.maximumFailures(record), clock()))
        rewards.onFailureRecorded(key)
    }

    private fun needsReward(key: ItemKey): Boolean = machine.job(JobIdentifier(key.job))?.item(key.item)?.reward != null

    private fun onRewardResult(key: ItemKey, result: ItemResult) {
        metrics.onEvent("reward", if (result.isCompleted) "scored" else "given_up")
        recorder.record(JobIdentifier(key.job), result, clock())
    }

    private fun onEnd(run: Long, end: RunEnd) {
        runs.forget(run)
        metrics.onEvent("run", end.javaClass.simpleName)
        val now = clock()
        execute(dispatcher.onEnd(run, end, now))
        // Runs end far more often than ticks occur, so timers are checked only at the next tick.
        if (isActive) execute(dispatcher.place(now))
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** Upper bound of the time for which an open item may be neither dispatched nor being recorded. */
        val RECONCILIATION_INTERVAL = 1.seconds
    }
}
