package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryOptions
import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import org.zinniahoist.gateway.dialect.HeaderNames
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Endpoint
import java.util.concurrent.CompletionException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.function.Consumer
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** HTTP/1.1 calls to upstreams and to the platform. One connection serves one call at a time. */
internal class UpstreamCalls(
    private val names: HeaderNames,
    private val metrics: GatewayMetrics = GatewayMetrics(),
) : AutoCloseable {
    private val factory = ClientFactory.builder()
        .connectTimeout(CONNECT_TIMEOUT)
        .idleTimeout(IDLE_TIMEOUT)
        .useHttp2Preface(false)
        .http1MaxInitialLineLength(AnswerLimits.LINE_BYTES)
        .http1MaxHeaderSize(AnswerLimits.HEADER_BYTES)
        .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, Consumer { it.addFirst(ResetGuard()) })
        .build()
    private val clients = ConcurrentHashMap<Endpoint, WebClient>()

    /**
     * Sends a request whose answer is read as it arrives. Aborting the answer closes the connection. An answer beyond
     * [limits] fails with the cause that [AnswerLimits.exceededBy] finds; [identifier] names the request in the log.
     * [onSent] is called by the connection's thread once the whole request was written.
     */
    fun open(
        endpoint: Endpoint,
        headers: RequestHeaders,
        body: ByteArray,
        limits: AnswerLimits,
        identifier: String? = null,
        timeout: Duration = Duration.ZERO,
        onSent: () -> Unit = {},
    ): HttpResponse {
        val request = HttpRequest.of(headers, HttpData.wrap(body))
        val options = RequestOptions.builder()
            .responseTimeout(timeout.toJavaDuration())
            .maxResponseLength(limits.bodyBytes)
            .build()
        // There is no context where the request can't be sent as it is; the response fails with the reason.
        val (context, response) = Clients.newContextCaptor().use { captor ->
            val response = client(endpoint).execute(request, options)
            captor.getOrNull() to response
        }
        response.whenComplete().handle { _, failure ->
            failure?.let(AnswerLimits::exceededBy)?.let { onTooLong(it, endpoint, headers.path(), identifier) }
        }
        context?.log()?.whenRequestComplete()?.thenAccept { if (it.requestCause() == null) onSent() }
        val limited = limitHeads(response, limits)
        return if (context == null) limited else limited.takenByConnection(context)
    }

    private fun limitHeads(response: HttpResponse, limits: AnswerLimits): HttpResponse {
        val interim = AtomicInteger()
        return response
            .mapInformational { head ->
                if (interim.incrementAndGet() > AnswerLimits.INTERIM_HEADS) {
                    response.breakOff(AnswerTooLongException(AnswerPart.INTERIM_HEADS, AnswerLimits.INTERIM_HEADS))
                }
                head
            }
            .peekHeaders { head ->
                if (head.contentLength() > limits.bodyBytes) {
                    response.breakOff(AnswerTooLongException(AnswerPart.BODY, limits.bodyBytes))
                }
            }
    }

    private fun onTooLong(
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

    /** Sends a request and returns the whole answer, or null if there is none within [timeout]. */
    suspend fun whole(
        endpoint: Endpoint,
        headers: RequestHeaders,
        body: ByteArray,
        timeout: Duration,
        limits: AnswerLimits = AnswerLimits.CALL,
    ): WholeAnswer? = try {
        val response = open(endpoint, headers, body, limits, timeout = timeout)
        readWhole(response, names.requestIdentifier, headers.get(names.requestIdentifier))
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        logger.info { "event=call-failed upstream=$endpoint path=${headers.path()} cause=\"${rootOf(failure)}\"" }
        null
    }

    /** Sends a GET request and returns the whole answer, or null if there is none within [timeout]. */
    suspend fun get(
        endpoint: Endpoint,
        path: String,
        timeout: Duration,
        limits: AnswerLimits = AnswerLimits.CALL,
    ): WholeAnswer? = whole(endpoint, RequestHeaders.of(HttpMethod.GET, path), ByteArray(0), timeout, limits)

    /**
     * Calls [action] once all connections have handed over the bytes that arrived before this call.
     *
     * A delayed task is run in a later round of its event loop, after this round has read its connections.
     */
    fun whenRead(action: () -> Unit) {
        val loops = factory.eventLoopGroup().toList()
        val unread = AtomicInteger(loops.size)
        for (loop in loops) {
            val note = Runnable { if (unread.decrementAndGet() == 0) action() }
            loop.schedule(note, 1, TimeUnit.MILLISECONDS)
        }
    }

    override fun close() {
        factory.closeAsync()
    }

    private fun client(endpoint: Endpoint): WebClient = clients.computeIfAbsent(endpoint) {
        WebClient.builder("h1c://$endpoint")
            .factory(factory)
            .responseTimeoutMillis(0)
            .writeTimeoutMillis(0)
            .build()
    }

    companion object {
        private val logger = KotlinLogging.logger {}

        /** A reachable upstream accepts within a few milliseconds; one behind a partition never does. */
        private val CONNECT_TIMEOUT = java.time.Duration.ofMillis(700)

        /** Shorter than the idle time of upstreams, so that a call rarely meets a connection that just closed. */
        private val IDLE_TIMEOUT = java.time.Duration.ofMillis(3_500)

        /** Returns true if no byte of the request was written. */
        fun isUnsent(failure: Throwable): Boolean = rootOf(failure) is UnprocessedRequestException

        /** Returns the cause that [failure] wraps. */
        fun rootOf(failure: Throwable): Throwable =
            if (failure is CompletionException) failure.cause ?: failure else failure
    }
}
