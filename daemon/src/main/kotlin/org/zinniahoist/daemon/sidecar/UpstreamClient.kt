package org.zinniahoist.daemon.sidecar

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.CommonPools
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.future.await
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureReason
import org.zinniahoist.wire.AttemptMessage
import java.net.ConnectException
import java.time.Duration
import java.util.concurrent.CancellationException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionException

/** The upstream stopped serving a connection without closing it. */
internal class SilentUpstreamException : RuntimeException("the upstream is silent")

/** A call that must not be cancelled took longer than any request may take. */
internal class CallTimeoutException : RuntimeException("the upstream did not answer in the largest time budget")

/** Answer to a request of the sidecar's own. */
internal sealed interface UpstreamAnswer {
    class Received(val response: AggregatedHttpResponse) : UpstreamAnswer

    /** No byte of the request was written. */
    data object NotSent : UpstreamAnswer

    /** The request may have been received. */
    data object Lost : UpstreamAnswer
}

/** Calls the upstream beside a sidecar over HTTP/1.1, so that each call in progress has a connection of its own. */
internal class UpstreamClient(
    private val endpoint: Endpoint,
    isEngine: Boolean,
) : AutoCloseable {
    /** Keeps entries from the control paths of an engine: orders reach it only with their fencing tokens. */
    private val allowedPrefix = if (isEngine) "/v1/" else "/"
    private val factory = ClientFactory.builder()
        .connectTimeout(CONNECT_TIMEOUT)
        .idleTimeout(IDLE_TIMEOUT)
        .build()
    private val client = webClient(factory, responseTimeout = Duration.ZERO, UNLIMITED)

    /** Returns the request of [start], or null if its method or path is not allowed for the upstream. */
    fun prepare(start: AttemptMessage.StartAttempt): HttpRequest? {
        val path = start.call.path
        val method = HttpMethod.tryParse(start.call.method)
        if (method == null || method == HttpMethod.CONNECT) return null
        if (!path.startsWith(allowedPrefix) || path.startsWith("//") || DOT_SEGMENT.containsMatchIn(path)) return null
        return try {
            HttpRequest.of(headers(start, method), HttpData.wrap(start.call.body))
        } catch (_: IllegalArgumentException) {
            null
        }
    }

    /** Begins a call. From now on the upstream may have received bytes. */
    fun open(request: HttpRequest, watch: ConnectionWatch): UpstreamExchange =
        Clients.newContextCaptor().use { captor ->
            val response = client.execute(request)
            UpstreamExchange(response, captor.get(), watch)
        }

    /** Sends a GET request on a new connection. Returns null if there is no successful answer in time. */
    suspend fun getOnNewConnection(path: String): AggregatedHttpResponse? {
        val single = ClientFactory.builder()
            .workerGroup(CommonPools.workerGroup(), false)
            .connectTimeout(CONNECT_TIMEOUT)
            .build()
        return try {
            val answer = webClient(single, PROBE_TIMEOUT).get(path).aggregate().received()
            (answer as? UpstreamAnswer.Received)?.response?.takeIf { it.status().isSuccess }
        } finally {
            single.closeAsync()
        }
    }

    /** Sends a GET request on any connection. */
    suspend fun get(path: String): UpstreamAnswer = webClient(factory, PROBE_TIMEOUT).get(path).aggregate().received()

    /** Sends a JSON body on any connection. */
    suspend fun postJson(path: String, json: String): UpstreamAnswer {
        val headers = RequestHeaders.of(HttpMethod.POST, path, "content-type", "application/json")
        val request = HttpRequest.of(headers, HttpData.ofUtf8(json))
        return webClient(factory, ORDER_TIMEOUT).execute(request).aggregate().received()
    }

    override fun close() {
        factory.closeAsync()
    }

    /** Answers of the client that are longer than [maximumLength] fail, and their connections are closed. */
    private fun webClient(
        factory: ClientFactory,
        responseTimeout: Duration,
        maximumLength: Long = OWN_ANSWER_BYTES,
    ): WebClient = WebClient.builder("h1c://${endpoint.host}:${endpoint.port}")
        .factory(factory)
        .responseTimeout(responseTimeout)
        .writeTimeout(WRITE_TIMEOUT)
        .maxResponseLength(maximumLength)
        .build()

    private fun headers(start: AttemptMessage.StartAttempt, method: HttpMethod): RequestHeaders {
        val call = start.call
        val builder = RequestHeaders.builder(method, call.path)
        if (call.contentType.isNotEmpty()) builder.set("content-type", call.contentType)
        start.idempotency?.let { builder.set("idempotency-key", it.key) }
        start.traceParent?.let { builder.set("traceparent", it) }
        return builder.build()
    }

    private suspend fun CompletableFuture<AggregatedHttpResponse>.received(): UpstreamAnswer = try {
        UpstreamAnswer.Received(await())
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        if (isUnsent(failure)) UpstreamAnswer.NotSent else UpstreamAnswer.Lost
    }

    companion object {
        private val CONNECT_TIMEOUT: Duration = Duration.ofSeconds(2)

        /** Shorter than the idle time of common servers, so that a call rarely meets a connection that just closed. */
        private val IDLE_TIMEOUT: Duration = Duration.ofSeconds(2)

        /** Within the 3 s in which a silent connection has to be noticed. */
        private val PROBE_TIMEOUT: Duration = Duration.ofSeconds(1)

        private val WRITE_TIMEOUT: Duration = Duration.ofSeconds(10)

        /** An engine loads weights within this time or its swap has failed. */
        private val ORDER_TIMEOUT: Duration = Duration.ofMinutes(2)

        /** Reports and the answers to orders and health checks are collected in memory. */
        private const val OWN_ANSWER_BYTES = 1L shl 20

        /** Answers to attempts are passed on as they are read, and not held. */
        private const val UNLIMITED = 0L

        /** A path with such a segment could lead out of the allowed prefix. */
        private val DOT_SEGMENT = Regex("(^|/)(\\.|%2e){1,2}(/|\\?|$)", RegexOption.IGNORE_CASE)

        /** Returns whether the upstream refused the connection or did not accept it in time. */
        fun isRefused(cause: Throwable): Boolean = peel(cause).cause is ConnectException

        /** Returns whether the request was surely not written. */
        fun isUnsent(cause: Throwable): Boolean = peel(cause) is UnprocessedRequestException

        fun reasonOf(cause: Throwable): FailureReason = when (peel(cause)) {
            is SilentUpstreamException -> FailureReason.UPSTREAM_SILENT
            is CallTimeoutException -> FailureReason.DEADLINE_EXCEEDED
            else -> FailureReason.UPSTREAM_CRASHED
        }

        private fun peel(cause: Throwable): Throwable =
            if (cause is CompletionException) cause.cause ?: cause else cause
    }
}
