package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.zinniahoist.gateway.entry.UpstreamFixture
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.ModelDemand
import org.zinniahoist.policy.routes.BatchTerms
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteKind
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.policy.routes.ServiceConfiguration
import org.zinniahoist.policy.routes.ServiceShare
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.HeaderField
import org.zinniahoist.state.service.ItemFailures
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceListener
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.state.service.StepTerms
import org.zinniahoist.state.service.StoredConfiguration
import org.zinniahoist.wire.ServiceReply
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs a [BatchEngine] on its own thread, with a replicated state that the test changes and one upstream on the
 * loopback interface.
 */
internal class EngineFixture :
    AutoCloseable,
    ServiceListener {
    private val thread = EngineThread(onFailure = {})
    private val calls = UpstreamCalls(UpstreamFixture.Names, onLeaving = ::onLeaving)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val server = Server.builder()
        .http(0)
        .requestTimeoutMillis(0)
        .serviceUnder("/") { _, request -> answer(request.headers()) }
        .build()
    private var index = 0L
    private val machine = ServiceStateMachine(this)

    /** Items that reached the upstream, one entry per run. */
    val requestedItems = CopyOnWriteArrayList<String>()

    /** Results proposed to the log. */
    val proposed = CopyOnWriteArrayList<ItemResult>()

    /** Handles proposals; commits them by default. */
    @Volatile
    var log: ResultLog = ResultLog { job, result, onReply -> record(job, result, onReply) }

    /** Handles proposals of failed runs; commits them by default. */
    @Volatile
    var failureLog: FailureLog = FailureLog { job, failures, onReply ->
        thread.post {
            applyHere(ServiceCommand.RecordFailures(job, failures))
            onReply(ServiceReply.Done)
        }
    }

    /** Whether runs of items end with an error of the upstream. */
    @Volatile
    var runsFail: Boolean = false

    /** Whether the engine is notified of job changes. */
    @Volatile
    var isNotified: Boolean = true

    /** Number of the last event before each run; 0 for a run that starts from the beginning. */
    val resumedAfter = CopyOnWriteArrayList<Long>()

    /** Whether the upstream says in its responses that it is leaving. */
    @Volatile
    var saysLeaving: Boolean = false

    /** Number of events in an upstream response. */
    @Volatile
    var eventsPerResponse: Int = 1

    /** Whether the upstream ends its responses. */
    @Volatile
    var responsesEnd: Boolean = true

    /** Identifiers of the reward calls that reached the upstream, one entry per call. */
    val rewardCalls = CopyOnWriteArrayList<String>()

    /** Answers reward calls. */
    @Volatile
    var scorer: (ReceivedRewardCall) -> HttpResponse = { RewardServiceFixture.scored(it, "score of ${it.identifier}") }

    /** Offset of the engine's monotonic clock. */
    @Volatile
    var advance: Duration = Duration.ZERO

    /** Offset of the wall clock. */
    @Volatile
    var wallJump: Duration = Duration.ZERO

    private val engine = BatchEngine(
        StubDialect(),
        calls,
        machine,
        { job, result, onReply ->
            proposed += result
            log.propose(job, result, onReply)
        },
        { job, parts, onReply ->
            thread.post {
                applyHere(ServiceCommand.RecordTexts(job, parts))
                onReply(ServiceReply.Done)
            }
        },
        { job, failures, onReply -> failureLog.propose(job, failures, onReply) },
        thread::post,
        { Moment(System.nanoTime()) + advance },
        { System.currentTimeMillis() + wallJump.inWholeMilliseconds },
        GatewayMetrics(),
        RewardCalls(UpstreamFixture.Names, calls, machine, scope),
    )

    init {
        server.start().join()
        val endpoint = Endpoint("127.0.0.1", server.activeLocalPort())
        val upstream = ListedUpstream(UpstreamIdentity("u"), SERVICE, endpoint, "a", 4, isLeaving = false, emptyMap())
        val scorer =
            ListedUpstream(
                UpstreamIdentity("s"),
                RewardServiceFixture.SCORERS,
                endpoint,
                "a",
                RewardServiceFixture.SCORER_SLOTS,
                isLeaving = false,
            )
        thread.post { engine.updateUpstreams(listOf(upstream, scorer)) }
    }

    private fun answer(request: RequestHeaders): HttpResponse {
        val item = checkNotNull(request.get(UpstreamFixture.Names.requestIdentifier))
        if (request.path().startsWith(RewardServiceFixture.SCORE_PREFIX)) return score(request, item)
        val before = request.get(UpstreamFixture.Names.lastEvent)?.toLong() ?: 0
        requestedItems += item
        resumedAfter += before
        if (runsFail) return failure(item)
        val builder = ResponseHeaders.builder(HttpStatus.OK).set(UpstreamFixture.Names.requestIdentifier, item)
        if (saysLeaving) builder.set(UpstreamFixture.Names.upstreamLeaving, "1")
        val head = builder.build()
        val events = (before + 1..before + eventsPerResponse).joinToString("") { "id: $it\ndata: text of $item\n\n" }
        val event = HttpData.ofUtf8(events)
        if (responsesEnd) return HttpResponse.of(head, event)
        val endless = HttpResponse.streaming()
        endless.write(head)
        endless.write(event)
        return endless
    }

    private fun failure(item: String): HttpResponse = HttpResponse.of(
        ResponseHeaders.of(HttpStatus.INTERNAL_SERVER_ERROR, UpstreamFixture.Names.requestIdentifier, item),
    )

    private fun onLeaving(upstream: UpstreamIdentity): Unit = thread.post { engine.registry.onLeaving(upstream) }

    private fun score(request: RequestHeaders, identifier: String): HttpResponse {
        rewardCalls += identifier
        return scorer(ReceivedRewardCall(identifier, request.path(), rewardCalls.count { it == identifier }))
    }

    fun activate() = onThread { engine.activate() }

    fun deactivate() = onThread { engine.deactivate() }

    fun routes(vararg routes: Route) = onThread {
        engine.routes = RouteTable(ServiceConfiguration(Revision(1), routes.toList(), emptyList(), limits = null))
    }

    /** Submits a job with [items]. */
    fun submit(
        job: String,
        vararg items: BatchItem,
        host: String = "h",
        step: StepTerms? = null,
    ) = apply(ServiceCommand.SubmitJob(BatchJob(JobIdentifier(job), host, "/s/", items.toList(), step)))

    /** Returns the upstream capacity that the jobs of [model] require. */
    fun demand(model: ModelName): ModelDemand {
        var demand = ModelDemand()
        onThread { demand = engine.demand(model) }
        return demand
    }

    /** Returns the number of recorded events of [item]. */
    fun recordedEvents(job: String, item: String): Int =
        machine.job(JobIdentifier(job))?.text(RequestIdentifier(item))?.events()?.size ?: 0

    /** Returns the recorded failures of [item]. */
    fun recordedFailures(job: String, item: String): ItemFailures =
        checkNotNull(machine.job(JobIdentifier(job))).failures(RequestIdentifier(item))

    /** Commits [result] and confirms it to [onReply]. */
    fun record(job: JobIdentifier, result: ItemResult, onReply: (ServiceReply) -> Unit) {
        thread.post {
            applyHere(ServiceCommand.RecordResults(job, listOf(result)))
            onReply(ServiceReply.Done)
        }
    }

    /** Applies [command] and returns once the engine has been notified, so that clocks may be changed afterwards. */
    fun apply(command: ServiceCommand) {
        onThread { applyHere(command) }
        onThread { }
    }

    private fun applyHere(command: ServiceCommand) {
        val time = System.currentTimeMillis() + wallJump.inWholeMilliseconds
        machine.apply(++index, time, StateCodec.encode(command))
    }

    /** Waits until [condition] holds, ticking the engine if [isTicking]; returns false if it fails within [limit]. */
    fun eventually(limit: Duration = 5.seconds, isTicking: Boolean = true, condition: () -> Boolean): Boolean {
        val end = System.nanoTime() + limit.inWholeNanoseconds
        while (System.nanoTime() < end) {
            if (condition()) return true
            if (isTicking) onThread { engine.tick() }
            Thread.sleep(PAUSE.inWholeMilliseconds)
        }
        return condition()
    }

    /** Ticks the engine for [time]. */
    fun pass(time: Duration) {
        eventually(time) { false }
    }

    /** Runs [task] on the engine thread, which logs exceptions, and waits for its end. */
    private fun onThread(task: () -> Unit) {
        val done = CompletableFuture<Unit>()
        thread.post {
            try {
                task()
            } finally {
                done.complete(Unit)
            }
        }
        done.join()
    }

    override fun onConfiguration(configuration: StoredConfiguration) = Unit

    override fun onJob(record: JobRecord) {
        if (isNotified) thread.post { engine.onJob(record) }
    }

    override fun onResults(record: JobRecord) = Unit

    override fun onVersion(model: ModelName, version: WeightVersion) = Unit

    override fun close() {
        thread.close()
        scope.cancel()
        calls.close()
        server.stop().join()
    }

    companion object {
        val SERVICE = ServiceName("drafts")

        /** Traffic shares with a single service that has no upstreams. */
        val NO_UPSTREAMS = listOf(ServiceShare(ServiceName("none"), 1))
        private val PAUSE = 10.milliseconds

        fun item(name: String, vararg headers: HeaderField, tokens: Int = 10) =
            BatchItem(RequestIdentifier(name), "/s/$name", headers.toList(), byteArrayOf(1), tokens)

        /** Returns the route of all jobs. */
        fun route(kind: RouteKind = RouteKind.BATCH, keep: Duration = 40.seconds) = Route(
            name = "r",
            host = "h",
            pathPrefix = "/s/",
            kind = kind,
            timeout = 1.seconds,
            target = 1.seconds,
            priority = 0,
            shares = listOf(ServiceShare(SERVICE, 1)),
            maximumAttempts = 3,
            batch = BatchTerms(due = 7.seconds, keep = keep, singleVersion = false).takeIf { kind == RouteKind.BATCH },
        )
    }
}
