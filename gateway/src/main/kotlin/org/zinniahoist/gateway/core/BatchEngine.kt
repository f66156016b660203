package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.AnswerLimits
import org.zinniahoist.gateway.upstream.ItemRun
import org.zinniahoist.gateway.upstream.RunObserver
import org.zinniahoist.gateway.upstream.StreamEvent
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DispatchAction
import org.zinniahoist.policy.dispatch.DraftTerms
import org.zinniahoist.policy.dispatch.ItemDispatcher
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.ItemText
import org.zinniahoist.policy.dispatch.ItemWork
import org.zinniahoist.policy.dispatch.RunEnd
import org.zinniahoist.policy.dispatch.UpstreamBoard
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.policy.routes.drawService
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceStateMachine
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Takes results to the replicated log. */
internal fun interface ResultSink {
    fun record(job: JobIdentifier, result: ItemResult)
}

/** Runs the items of all jobs on the upstreams while this replica leads. All functions run on the engine's thread. */
internal class BatchEngine(
    private val dialect: PlatformDialect,
    private val calls: UpstreamCalls,
    private val machine: ServiceStateMachine,
    private val sink: ResultSink,
    private val post: (() -> Unit) -> Unit,
    private val clock: () -> Moment,
    private val wallMilliseconds: () -> Long,
    private val metrics: GatewayMetrics,
    private val random: Random = Random.Default,
) {
    val board = UpstreamBoard()
    private val dispatcher = ItemDispatcher(board)
    private val runs = HashMap<Long, ItemRun>()
    private val keptTexts = LinkedHashMap<RequestIdentifier, ItemText>()
    private val known = HashSet<JobIdentifier>()

    /** The routes in force, or null before the first configuration. */
    var routes: RouteTable? = null

    private var isActive = false

    fun relist(entries: List<ListedUpstream>) = board.relist(entries)

    /** Begins to run what is open. */
    fun activate() {
        isActive = true
        machine.jobs.sortedBy { it.submittedMilliseconds }.forEach(::onJob)
    }

    /** Ends all runs. */
    fun deactivate() {
        isActive = false
        known.clear()
        carryOut(dispatcher.clear())
    }

    /** A job was accepted, got results or was ended. */
    fun onJob(record: JobRecord) {
        if (!isActive) return
        val job = record.job
        if (record.isEnded) {
            if (known.remove(job.identifier)) end(job)
            return
        }
        if (!known.add(job.identifier)) return
        val route = routes?.find(job.host, job.path)
        if (route == null) {
            known.remove(job.identifier)
            logger.warn { "event=job-without-route job=${job.identifier} host=${job.host} path=${job.path}" }
            return
        }
        begin(record, route)
    }

    private fun begin(record: JobRecord, route: Route) {
        val job = record.job
        val earlier = earlierResults(job)
        val open = record.openItems()
        val work = ArrayList<ItemWork>()
        for (item in open) {
            val result = earlier[item.identifier]?.takeIf { fits(it, job, route) }
            if (result != null) sink.record(job.identifier, result) else work += work(record, route, item)
        }
        dispatcher.submit(work)
        logger.info {
            "event=job-begun job=${job.identifier} step=${job.step?.step} items=${job.items.size} open=${open.size} " +
                "reused=${open.size - work.size} minimum-version=${job.step?.minimumVersion}"
        }
        tick()
    }

    private fun end(job: BatchJob) {
        val cancelled = dispatcher.cancelJob(job.identifier.value)
        keptTexts += cancelled.texts
        while (keptTexts.size > KEPT_TEXTS) keptTexts.remove(keptTexts.keys.first())
        carryOut(cancelled.aborts)
        logger.info { "event=job-ended job=${job.identifier} unfinished=${cancelled.texts.size}" }
    }

    /** Groups that were not complete come again; what an earlier job made of them may be used. */
    private fun earlierResults(job: BatchJob): Map<RequestIdentifier, ItemResult> {
        val wanted = job.items.mapTo(HashSet()) { it.identifier }
        return machine.jobs
            .filter { it.job.identifier != job.identifier }
            .flatMap { it.results }
            .filter { it.isCompleted && it.item in wanted }
            .associateBy { it.item }
    }

    private fun fits(result: ItemResult, job: BatchJob, route: Route): Boolean =
        ItemText(versions = result.versions).fits(termsOf(job, route))

    private fun termsOf(job: BatchJob, route: Route): DraftTerms? = job.step?.let {
        DraftTerms(it.model, it.minimumVersion, route.batch?.singleVersion == true)
    }

    private fun work(record: JobRecord, route: Route, item: BatchItem): ItemWork {
        val now = clock()
        val age = (wallMilliseconds() - record.submittedMilliseconds).coerceAtLeast(0).milliseconds
        val batch = route.batch
        val text = keptTexts[item.identifier]
        return ItemWork(
            key = ItemKey(record.job.identifier.value, item.identifier),
            service = route.drawService(random),
            dueAt = now + (batch?.due ?: route.timeout) - age,
            giveUpAt = now + (batch?.keep ?: route.timeout) - age,
            maximumFailures = route.maximumAttempts,
            group = item.group,
            isCarriedOver = text != null,
            expectedTokens = item.expectedTokens ?: item.tokens,
            terms = termsOf(record.job, route),
            text = text ?: ItemText(),
        )
    }

    /** True if an open job of the model wants each sample from the same weights. */
    fun needsSingleVersion(): Boolean = machine.jobs.any { record ->
        !record.isEnded && routes?.find(record.job.host, record.job.path)?.batch?.singleVersion == true
    }

    /** Returns the expected tokens of all open items of [model]. */
    fun openTokens(model: ModelName): Long = dispatcher.openTokens(model)

    /** Carries out what is due now. */
    fun tick() {
        if (!isActive) return
        carryOut(dispatcher.tick(clock()))
    }

    private fun carryOut(actions: List<DispatchAction>) {
        for (action in actions) {
            when (action) {
                is DispatchAction.Start -> start(action)

                is DispatchAction.Abort -> {
                    logger.info { "event=run-aborted run=${action.run} reason=\"${action.reason}\"" }
                    runs.remove(action.run)?.abort()
                }

                is DispatchAction.Finish -> finish(action)
            }
        }
    }

    private fun finish(action: DispatchAction.Finish) {
        keptTexts.remove(action.key.item)
        val text = action.text
        val output = if (action.isCompleted) text.events.joinToString("\n") else ""
        val versions = if (action.isCompleted) text.versions else emptyList()
        logger.info {
            "event=item-finished item=${action.key.item} job=${action.key.job} outcome=\"${action.reason}\" " +
                "events=${text.events.size} versions=${versions.joinToString(",")}"
        }
        metrics.onEvent("item", if (action.isCompleted) "completed" else "given_up")
        sink.record(JobIdentifier(action.key.job), ItemResult(action.key.item, action.isCompleted, output, versions))
    }

    private fun start(action: DispatchAction.Start) {
        val record = machine.job(JobIdentifier(action.key.job)) ?: return
        val item = record.item(action.key.item) ?: return
        val limits = AnswerLimits.item(item.tokens)
        val headers = headers(record.job, item, action)
        val response = calls.open(action.upstream.endpoint, headers, item.body, limits, item.identifier.value)
        val run = ItemRun(dialect.headers, item.identifier.value, Observer(action.run), limits, response)
        runs[action.run] = run
        logger.info {
            "event=run-started run=${action.run} item=${item.identifier} job=${action.key.job} " +
                "upstream=${action.upstream.identity} after=${action.afterEvent} waiting=${dispatcher.waitingItems}"
        }
        run.start()
    }

    private fun headers(job: BatchJob, item: BatchItem, action: DispatchAction.Start): RequestHeaders {
        val builder = RequestHeaders.builder(HttpMethod.POST, item.path).authority(job.host)
        item.headers.forEach { builder.set(it.name, it.value) }
        builder.set(dialect.headers.requestIdentifier, item.identifier.value)
        builder.set(dialect.headers.expectedUpstream, action.upstream.identity.value)
        action.afterEvent?.let { builder.set(dialect.headers.lastEvent, it.toString()) }
        return builder.build()
    }

    private inner class Observer(private val run: Long) : RunObserver {
        override fun onBegin(version: WeightVersion?) = post { carryOut(dispatcher.onBegin(run, version, clock())) }

        override fun onEvent(event: StreamEvent) = post {
            carryOut(dispatcher.onEvent(run, event.number, event.data, event.version, clock()))
        }

        override fun onEnd(end: RunEnd) = post {
            runs.remove(run)
            metrics.onEvent("run", end.javaClass.simpleName)
            if (end is RunEnd.Broken) logger.info { "event=run-broken run=$run reason=\"${end.reason}\"" }
            carryOut(dispatcher.onEnd(run, end, clock()))
            tick()
        }

        override fun whenTaken(action: () -> Unit) = post(action)
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** Several steps of unfinished samples. */
        const val KEPT_TEXTS = 2_000
    }
}
