package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
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
 * A [BatchEngine] on its own thread, with a replicated state that the test
 * changes and an upstream on the loopback.
 */
internal class EngineFixture :
    AutoCloseable,
    ServiceListener {
    private val thread = EngineThread(onFailure = {})
    private val calls = UpstreamCalls(UpstreamFixture.Names)
    private val server = Server.builder()
        .http(0)
        .requestTimeoutMillis(0)
        .serviceUnder("/") { _, request -> answer(request.headers()) }
        .build()
    private var index = 0L
    private val machine = ServiceStateMachine(this)

    /** Items that reached the upstream, one entry a run. */
    val asked = CopyOnWriteArrayList<String>()

    /** Results that were proposed. */
    val proposed = CopyOnWriteArrayList<ItemResult>()

    /** What becomes of a proposal; recorded at first. */
    @Volatile
    var log: ResultLog = ResultLog { job, result, onReply -> record(job, result, onReply) }

    /** Whether the engine is told of changes of jobs. */
    @Volatile
    var isTold: Boolean = true

    /** Number of the last event before each run, 0 for a run from the begin. */
    val askedAfter = CopyOnWriteArrayList<Long>()

    /** Events of an answer. */
    @Volatile
    var eventsOfAnswer: Int = 1

    /** Whether answers of the upstream come to their end. */
    @Volatile
    var answersEnd: Boolean = true

    /** Time by which the steady clock is ahead. */
    @Volatile
    var advance: Duration = Duration.ZERO

    /** Time by which the wall clock is ahead. */
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
        thread::post,
        { Moment(System.nanoTime()) + advance },
        { System.currentTimeMillis() + wallJump.inWholeMilliseconds },
        GatewayMetrics(),
    )

    init {
        server.start().join()
        val endpoint = Endpoint("127.0.0.1", server.activeLocalPort())
        val upstream = ListedUpstream(UpstreamIdentity("u"), SERVICE, endpoint, "a", 4, isLeaving = false, emptyMap())
        thread.post { engine.updateUpstreams(listOf(upstream)) }
    }

    private fun answer(request: RequestHeaders): HttpResponse {
        val item = checkNotNull(request.get(UpstreamFixture.Names.requestIdentifier))
        val before = request.get(UpstreamFixture.Names.lastEvent)?.toLong() ?: 0
        asked += item
        askedAfter += before
        val head = ResponseHeaders.builder(HttpStatus.OK).set(UpstreamFixture.Names.requestIdentifier, item).build()
        val events = (before + 1..before + eventsOfAnswer).joinToString("") { "id: $it\ndata: text of $item\n\n" }
        val event = HttpData.ofUtf8(events)
        if (answersEnd) return HttpResponse.of(head, event)
        val endless = HttpResponse.streaming()
        endless.write(head)
        endless.write(event)
        return endless
    }

    fun activate() = onThread { engine.activate() }

    fun deactivate() = onThread { engine.deactivate() }

    fun routes(vararg routes: Route) = onThread {
        engine.routes = RouteTable(ServiceConfiguration(Revision(1), routes.toList(), emptyList(), limits = null))
    }

    /** Accepts a job with one item for each of [items]. */
    fun submit(
        job: String,
        vararg items: BatchItem,
        host: String = "h",
        step: StepTerms? = null,
    ) = apply(ServiceCommand.SubmitJob(BatchJob(JobIdentifier(job), host, "/s/", items.toList(), step)))

    /** Returns what the jobs of [model] ask of the upstreams. */
    fun demand(model: ModelName): ModelDemand {
        var demand = ModelDemand()
        onThread { demand = engine.demand(model) }
        return demand
    }

    /** Returns the number of events of [item] that are recorded. */
    fun recordedEvents(job: String, item: String): Int =
        machine.job(JobIdentifier(job))?.text(RequestIdentifier(item))?.events()?.size ?: 0

    /** Lists [result] and says so. */
    fun record(job: JobIdentifier, result: ItemResult, onReply: (ServiceReply) -> Unit) {
        thread.post {
            applyHere(ServiceCommand.RecordResults(job, listOf(result)))
            onReply(ServiceReply.Done)
        }
    }

    /** Applies [command]; the engine has been told of it when this returns, so that the clock may be moved. */
    fun apply(command: ServiceCommand) {
        onThread { applyHere(command) }
        onThread { }
    }

    private fun applyHere(command: ServiceCommand) {
        val time = System.currentTimeMillis() + wallJump.inWholeMilliseconds
        machine.apply(++index, time, StateCodec.encode(command))
    }

    /** Waits until [condition] holds, with ticks if it [isTicking]; returns false if it doesn't within [limit]. */
    fun eventually(limit: Duration = 5.seconds, isTicking: Boolean = true, condition: () -> Boolean): Boolean {
        val end = System.nanoTime() + limit.inWholeNanoseconds
        while (System.nanoTime() < end) {
            if (condition()) return true
            if (isTicking) onThread { engine.tick() }
            Thread.sleep(PAUSE.inWholeMilliseconds)
        }
        return condition()
    }

    /** Ticks for [time]. */
    fun pass(time: Duration) {
        eventually(time) { false }
    }

    /** Runs [task] as the engine's thread would: what it throws ends the task only. */
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
        if (isTold) thread.post { engine.onJob(record) }
    }

    override fun onResults(record: JobRecord) = Unit

    override fun onVersion(model: ModelName, version: WeightVersion) = Unit

    override fun close() {
        thread.close()
        calls.close()
        server.stop().join()
    }

    companion object {
        val SERVICE = ServiceName("drafts")

        /** Shares of a service that has no upstreams. */
        val NO_UPSTREAMS = listOf(ServiceShare(ServiceName("none"), 1))
        private val PAUSE = 10.milliseconds

        fun item(name: String, vararg headers: HeaderField, tokens: Int = 10) =
            BatchItem(RequestIdentifier(name), "/s/$name", headers.toList(), byteArrayOf(1), tokens)

        /** The route of all jobs. */
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
