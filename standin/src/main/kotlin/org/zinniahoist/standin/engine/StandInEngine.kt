package org.zinniahoist.standin.engine

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.QueryParams
import com.linecorp.armeria.server.ServerBuilder
import org.zinniahoist.standin.DelayedView
import org.zinniahoist.standin.StandInClock
import org.zinniahoist.standin.http.StandInServer
import org.zinniahoist.standin.http.answer
import org.zinniahoist.standin.http.errorResponse
import org.zinniahoist.standin.http.jsonResponse
import org.zinniahoist.standin.http.standInJson
import java.net.URI
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration

/** Test double of a model engine with continuous batching. */
public class StandInEngine(public val configuration: EngineConfiguration = EngineConfiguration()) : AutoCloseable {
    /** Faults that can be set while the engine runs. */
    public val faults: EngineFaults = EngineFaults()

    private val clock = StandInClock(configuration.clockRate)
    private val orders = EngineOrders(configuration, clock, faults)
    private val cacheEvents = CacheEvents(clock, configuration.cacheEventLag, configuration.cacheEventLossEvery)
    private val cache = PrefixCache(configuration.cacheTokens, cacheEvents::record)
    private val load = DelayedView(clock, { configuration.loadLag }, report(DecodeCounts(0, 0, 0.0)))
    private val loop =
        DecodeLoop(configuration, clock, faults, cache, orders::versionOf, ::crashFromDecodeLoop) {
            load.record(report(it))
        }
    private val completions = CompletionService(configuration, orders, loop)
    private val server = StandInServer(::addRoutes)
    private val crashCount = AtomicInteger()

    @Volatile
    private var incarnation = 0

    @Volatile
    private var readyAt = Duration.ZERO

    /** Base address, for example `http://127.0.0.1:40123`. */
    public val address: URI get() = server.address

    /** Port on the loopback interface. It stays the same over crashes and restarts. */
    public val port: Int get() = server.port

    /** Number of crashes since the engine was created, by [crash] or by a poison prompt. */
    public val crashes: Int get() = crashCount.get()

    /** Orders that were applied, in the order of their application. */
    public val appliedOrders: List<EngineOrder> get() = orders.applied.toList()

    /** Number of tokens generated since the engine was created. */
    public val generatedTokens: Long get() = loop.generatedTokens

    /** Present state without the lag of `GET /load`. */
    public val currentLoad: LoadReport get() = report(loop.counts())

    /** Starts the engine, or starts it again after a crash, with the models of its configuration. */
    @Synchronized
    public fun start(): StandInEngine {
        readyAt = clock.now() + faults.startDelay
        orders.reset()
        cache.clear()
        server.start()
        incarnation += 1
        loop.start()
        return this
    }

    /** Resets all connections and refuses new ones until [start]. */
    @Synchronized
    public fun crash() {
        crashCount.incrementAndGet()
        server.resetAll()
        loop.stop()
        server.stop()
    }

    /** Discards all further bytes on the connections that are open now. New connections work. */
    public fun silenceOpenConnections(): Unit = server.silenceOpenConnections()

    @Synchronized
    override fun close() {
        loop.stop()
        server.close()
    }

    /** Crashes on a thread of its own, because [crash] waits for the end of the decode loop. */
    private fun crashFromDecodeLoop() {
        val poisoned = incarnation
        thread(isDaemon = true) { crashIncarnation(poisoned) }
    }

    /** Crashes unless the engine was started again in the meantime. */
    @Synchronized
    private fun crashIncarnation(poisoned: Int) {
        if (incarnation == poisoned) crash()
    }

    private fun report(counts: DecodeCounts) =
        LoadReport(counts.running, counts.waiting, counts.tokensPerSecond, orders.role, orders.versions())

    private fun addRoutes(builder: ServerBuilder) {
        route(builder, "/v1/completions") { completions.complete(it, chat = false) }
        route(builder, "/v1/chat/completions") { completions.complete(it, chat = true) }
        route(builder, "/v1/models") { jsonResponse(mapOf("data" to orders.versions().keys.map { mapOf("id" to it) })) }
        route(builder, "/health") { jsonResponse(mapOf("status" to "ok")) }
        route(builder, "/load") { jsonResponse(load.read()) }
        route(builder, "/cache/events") { jsonResponse(cacheEvents.after(afterOf(it))) }
        route(builder, "/kv/export") { export(it) }
        route(builder, "/orders") { request ->
            val (status, answer) = orders.apply(standInJson.decodeFromString(request.contentUtf8()))
            load.record(report(loop.counts()))
            jsonResponse(answer, status)
        }
    }

    private fun route(builder: ServerBuilder, path: String, handle: (AggregatedHttpRequest) -> HttpResponse) {
        builder.service(path) { context, request ->
            answer(context, request) {
                if (clock.now() < readyAt) {
                    errorResponse(HttpStatus.SERVICE_UNAVAILABLE, "the engine is starting")
                } else {
                    handle(it)
                }
            }
        }
    }

    private fun afterOf(request: AggregatedHttpRequest): Long =
        QueryParams.fromQueryString(request.path().substringAfter('?', "")).get("after")?.toLongOrNull() ?: 0L

    private fun export(request: AggregatedHttpRequest): HttpResponse {
        val identifier = standInJson.decodeFromString<KvExportRequest>(request.contentUtf8()).requestIdentifier
        val stream =
            loop.find(identifier) ?: return errorResponse(HttpStatus.NOT_FOUND, "no running request $identifier")
        val spans = stream.spans()
        val tokens = stream.firstPosition + spans.sumOf { it.tokens }
        val handle = KvHandle(stream.answer.fingerprint, stream.answer.seed, tokens)
        return jsonResponse(KvExport(handle.toString(), tokens, spans))
    }
}
