package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryOptions
import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CancellationException
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.framing.CarriedFields
import org.zinniahoist.gateway.framing.CarriedTarget
import org.zinniahoist.gateway.framing.MessageFault
import org.zinniahoist.gateway.framing.ResponseFramingHandler
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.RequestTarget
import org.zinniahoist.model.UpstreamIdentity
import java.util.concurrent.CompletionException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.function.Consumer
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/**
 * Makes HTTP/1.1 calls to upstreams and to the platform. A connection serves one call at a time.
 *
 * @param onLeaving called, on any thread, for each response in which an upstream says that it is leaving.
 */
internal class UpstreamCalls(
    private val names: HeaderNames,
    private val metrics: GatewayMetrics = GatewayMetrics(),
    private val onLeaving: (UpstreamIdentity) -> Unit = {},
) : AutoCloseable {
    /** Created at its first use, so that a process listens before it prepares for calls, which takes long. */
    private val lazyFactory = lazy(::newFactory)
    private val factory: ClientFactory by lazyFactory
    private val clients = ConcurrentHashMap<Endpoint, WebClient>()

    /** Makes calls that use each connection once. */
    private val lazySingleUseFactory = lazy { newFactory(factory.eventLoopGroup()) }
    private val singleUseFactory: ClientFactory by lazySingleUseFactory
    private val singleUseClients = ConcurrentHashMap<Endpoint, WebClient>()

    /** Prepares for calls, so that the first one does not have to wait for it. */
    fun prepare() {
        factory.eventLoopGroup()
    }

    /**
     * Sends a request, with its target byte for byte as in [headers], and returns its response as a stream. Aborting
     * the response closes the connection. A response that exceeds [limits] fails with a cause that
     * [ResponseLimits.limitViolation] recognizes. [identifier] identifies the request in the log. The event loop of the
     * connection calls [onSent] once the whole request is written.
     */
    fun open(
        endpoint: Endpoint,
        headers: RequestHeaders,
        body: RequestBody,
        limits: ResponseLimits,
        identifier: String? = null,
        timeout: Duration = Duration.ZERO,
        client: WebClient = client(endpoint),
        onSent: () -> Unit = {},
    ): HttpResponse {
        require(RequestTarget.isValid(headers.path())) { "a request target that can't be sent" }
        val request = requestOf(carriedHeaders(headers), body)
        val options = RequestOptions.builder()
            .responseTimeout(timeout.toJavaDuration())
            .maxResponseLength(limits.bodyBytes)
            .build()
        // An invalid request has no context; its response fails with the reason.
        val (context, response) = Clients.newContextCaptor().use { captor ->
            val response = client.execute(request, options)
            captor.getOrNull() to response
        }
        response.whenComplete().handle { _, failure ->
            failure?.let(ResponseLimits::limitViolation)?.let { reportLimit(it, endpoint, headers.path(), identifier) }
        }
        context?.log()?.whenRequestComplete()?.thenAccept { if (it.requestCause() == null) onSent() }
        val limitedResponse = enforceHeaderLimits(response, limits).peekHeaders { reportLeaving(headers, it) }
        return if (context == null) limitedResponse else limitedResponse.consumedOnEventLoop(context)
    }

    /** Returns a request that is written piece by piece, so that only a few pieces are copied to buffers at a time. */
    private fun requestOf(headers: RequestHeaders, body: RequestBody): HttpRequest {
        if (body.pieces.size <= 1) return HttpRequest.of(headers, HttpData.wrap(body.toByteArray()))
        val sized = headers.toBuilder().contentLength(body.size.toLong()).build()
        val request = HttpRequest.streaming(sized)
        body.pieces.forEach { request.write(HttpData.wrap(it)) }
        request.close()
        return request
    }

    /** Returns [headers] in the form that [OriginalRequestWriter] sends as they are. */
    private fun carriedHeaders(headers: RequestHeaders): RequestHeaders {
        val builder = headers.toBuilder().path(CarriedTarget.pathOf(headers.path()))
        val changed = headers.names().filter { CarriedFields.isCarried(CarriedFields.carriedName("$it")) }
        changed.forEach(builder::remove)
        changed.forEach { builder.add(CarriedFields.carriedName("$it"), headers.getAll(it)) }
        return builder.build()
    }

    private fun enforceHeaderLimits(response: HttpResponse, limits: ResponseLimits): HttpResponse {
        val informationalCount = AtomicInteger()
        return response
            .mapInformational { head ->
                if (informationalCount.incrementAndGet() > ResponseLimits.INTERIM_HEADS) {
                    response.abortWith(AnswerTooLongException(AnswerPart.INTERIM_HEADS, ResponseLimits.INTERIM_HEADS))
                }
                head
            }
            .peekHeaders { head ->
                if (head.contentLength() > limits.bodyBytes) {
                    response.abortWith(AnswerTooLongException(AnswerPart.BODY, limits.bodyBytes))
                }
            }
    }

    /** Reports the intended upstream, unless the response says that another one has its address. */
    private fun reportLeaving(request: RequestHeaders, response: ResponseHeaders) {
        if (!response.contains(names.upstreamLeaving) || response.status() == HttpStatus.MISDIRECTED_REQUEST) return
        request.get(names.expectedUpstream)?.let { onLeaving(UpstreamIdentity(it)) }
    }

    private fun reportFault(fault: MessageFault) {
        metrics.onEvent("response_malformed", fault.name.lowercase())
        logger.info { "event=response-malformed fault=${fault.name.lowercase()}" }
    }

    private fun reportLimit(
        exceeded: AnswerTooLongException,
        endpoint: Endpoint,
        path: String,
        identifier: String?,
    ) {
        val part = exceeded.part.name.lowercase()
        metrics.onEvent("answer_too_long", part)
        logger.warn {
            "event=answer-too-long request=$identifier upstream=$endpoint path=$path part=$part " +
                "maximum=${exceeded.maximum}"
        }
    }

    /** Sends a request and returns the full response, or null if the call fails or exceeds [timeout]. */
    suspend fun whole(
        endpoint: Endpoint,
        headers: RequestHeaders,
        body: ByteArray,
        timeout: Duration,
        limits: ResponseLimits = ResponseLimits.CALL,
        client: WebClient = client(endpoint),
    ): WholeAnswer? = try {
        val response = open(endpoint, headers, RequestBody.of(body), limits, timeout = timeout, client = client)
        readWhole(response, names.requestIdentifier, headers.get(names.requestIdentifier))
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        logger.info { "event=call-failed upstream=$endpoint path=${headers.path()} cause=\"${rootOf(failure)}\"" }
        null
    }

    /**
     * Like [whole], on a connection of its own: the response can't be a late copy of one to an earlier call, which an
     * identifier would show if the response had one.
     */
    suspend fun wholeOnOwnConnection(
        endpoint: Endpoint,
        headers: RequestHeaders,
        body: ByteArray,
        timeout: Duration,
    ): WholeAnswer? {
        val lastOfConnection = headers.toBuilder().set(HttpHeaderNames.CONNECTION, "close").build()
        val client = singleUseClients.computeIfAbsent(endpoint) { newClient(it, singleUseFactory) }
        return whole(endpoint, lastOfConnection, body, timeout, client = client)
    }

    /** Sends a GET request and returns the full response, or null if the call fails or exceeds [timeout]. */
    suspend fun get(
        endpoint: Endpoint,
        path: String,
        timeout: Duration,
        limits: ResponseLimits = ResponseLimits.CALL,
    ): WholeAnswer? =
        whole(endpoint, ForwardedFields.request(HttpMethod.GET, path).build(), ByteArray(0), timeout, limits)

    /**
     * Calls [action] once all event loops have delivered the bytes that arrived before this call.
     *
     * An event loop runs a delayed task in a later iteration, after the current one has read its connections.
     */
    fun whenRead(action: () -> Unit) {
        val loops = factory.eventLoopGroup().toList()
        val pendingLoops = AtomicInteger(loops.size)
        for (loop in loops) {
            val task = Runnable { if (pendingLoops.decrementAndGet() == 0) action() }
            loop.schedule(task, 1, TimeUnit.MILLISECONDS)
        }
    }

    override fun close() {
        if (lazySingleUseFactory.isInitialized()) singleUseFactory.closeAsync()
        if (lazyFactory.isInitialized()) factory.closeAsync()
    }

    private fun newFactory(workers: EventLoopGroup? = null): ClientFactory {
        // The shutdown hook of Armeria would close connections to upstreams while requests in flight drain.
        ClientFactory.disableShutdownHook()
        val builder = ClientFactory.builder()
        workers?.let { builder.workerGroup(it, false) }
        return builder
            .connectTimeout(CONNECT_TIMEOUT)
            .idleTimeout(IDLE_TIMEOUT)
            .useHttp2Preface(false)
            .http1MaxInitialLineLength(ResponseLimits.LINE_BYTES)
            .http1MaxHeaderSize(ResponseLimits.HEADER_BYTES)
            .option(
                ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
                Consumer { pipeline ->
                    pipeline.addFirst(
                        ConnectionResetHandler(),
                        ResponseFramingHandler(::reportFault),
                        RefusalConnectionHandler(names.notRun),
                        OriginalRequestWriter(),
                    )
                },
            )
            .build()
    }

    private fun client(endpoint: Endpoint): WebClient = clients.computeIfAbsent(endpoint) { newClient(it, factory) }

    private fun newClient(endpoint: Endpoint, factory: ClientFactory): WebClient = WebClient.builder("h1c://$endpoint")
        .factory(factory)
        .responseTimeoutMillis(0)
        .writeTimeoutMillis(0)
        .build()

    companion object {
        private val logger = KotlinLogging.logger {}

        /** A reachable upstream accepts a connection within a few milliseconds, a partitioned one never. */
        private val CONNECT_TIMEOUT = java.time.Duration.ofMillis(700)

        /** Shorter than the idle timeout of upstreams, so that a call rarely uses a connection that is being closed. */
        private val IDLE_TIMEOUT = java.time.Duration.ofMillis(3_500)

        /** Returns true if no byte of the request has been written. */
        fun isUnsent(failure: Throwable): Boolean = rootOf(failure) is UnprocessedRequestException

        /** Unwraps a [CompletionException]; returns any other [failure] itself. */
        fun rootOf(failure: Throwable): Throwable =
            if (failure is CompletionException) failure.cause ?: failure else failure
    }
}
