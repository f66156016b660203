package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import org.zinniahoist.model.Endpoint
import java.util.concurrent.CompletionException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** HTTP/1.1 calls to upstreams and to the platform. One connection serves one call at a time. */
public class UpstreamCalls : AutoCloseable {
    private val factory = ClientFactory.builder()
        .connectTimeout(CONNECT_TIMEOUT)
        .idleTimeout(IDLE_TIMEOUT)
        .useHttp2Preface(false)
        .build()
    private val clients = ConcurrentHashMap<Endpoint, WebClient>()

    /** Sends a request whose answer is read as it arrives. Aborting the answer closes the connection. */
    public fun open(endpoint: Endpoint, headers: RequestHeaders, body: ByteArray): HttpResponse =
        client(endpoint).execute(HttpRequest.of(headers, HttpData.wrap(body)))

    /** Sends a request and returns the whole answer, or null if there is none within [timeout]. */
    public suspend fun whole(
        endpoint: Endpoint,
        headers: RequestHeaders,
        body: ByteArray,
        timeout: Duration,
    ): AggregatedHttpResponse? {
        val request = HttpRequest.of(headers, HttpData.wrap(body))
        val options = RequestOptions.builder()
            .responseTimeout(timeout.toJavaDuration())
            .build()
        return try {
            client(endpoint).execute(request, options).aggregate().await()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            logger.info { "event=call-failed upstream=$endpoint path=${headers.path()} cause=\"${rootOf(failure)}\"" }
            null
        }
    }

    /** Sends a GET request and returns the whole answer, or null if there is none within [timeout]. */
    public suspend fun get(endpoint: Endpoint, path: String, timeout: Duration): AggregatedHttpResponse? =
        whole(endpoint, RequestHeaders.of(HttpMethod.GET, path), ByteArray(0), timeout)

    override fun close() {
        factory.closeAsync()
    }

    private fun client(endpoint: Endpoint): WebClient = clients.computeIfAbsent(endpoint) {
        WebClient.builder("h1c://$endpoint")
            .factory(factory)
            .responseTimeoutMillis(0)
            .writeTimeoutMillis(0)
            .maxResponseLength(0)
            .build()
    }

    public companion object {
        private val logger = KotlinLogging.logger {}

        /** A reachable upstream accepts within a few milliseconds; one behind a partition never does. */
        private val CONNECT_TIMEOUT = java.time.Duration.ofMillis(700)

        /** Shorter than the idle time of upstreams, so that a call rarely meets a connection that just closed. */
        private val IDLE_TIMEOUT = java.time.Duration.ofMillis(3_500)

        /** Returns true if no byte of the request was written. */
        public fun isUnsent(failure: Throwable): Boolean = rootOf(failure) is UnprocessedRequestException

        /** Returns the cause that [failure] wraps. */
        public fun rootOf(failure: Throwable): Throwable =
            if (failure is CompletionException) failure.cause ?: failure else failure
    }
}
