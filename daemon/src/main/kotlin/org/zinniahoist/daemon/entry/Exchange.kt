package org.zinniahoist.daemon.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Verdict
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Wraps an HTTP request and the writer of its response. */
internal class Exchange(
    val context: ServiceRequestContext,
    private val http: HttpRequest,
    private val writer: HttpResponseWriter,
    val request: RequestIdentifier,
) {
    val method: String get() = http.method().name
    val path: String get() = context.path()
    private var pendingEvents = 0

    /** Path with the query string. */
    val target: String get() = context.path() + context.query()?.let { "?$it" }.orEmpty()

    fun header(name: String): String? = http.headers().get(name)

    fun query(name: String): String? = context.queryParam(name)

    suspend fun body(): ByteArray = http.aggregate().await().content().array()

    fun respond(status: Int, contentType: String, body: ByteArray) =
        respond(ResponseHeaders.builder(status).add(HttpHeaderNames.CONTENT_TYPE, contentType), body)

    fun refuse(reason: RefusalReason, detail: String = "", retryAfter: Duration = Duration.ZERO) =
        respond(Problem(Verdict.NotRun(reason, detail), request, retryAfter))

    fun respond(problem: Problem) {
        val headers = ResponseHeaders.builder(problem.status).add(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE)
        if (problem.verdict == UNAUTHORIZED) headers.add(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer")
        if (problem.retryAfter.isPositive()) {
            val seconds = kotlin.math.ceil(problem.retryAfter.toDouble(DurationUnit.SECONDS)).toLong()
            headers.add(HttpHeaderNames.RETRY_AFTER, seconds.toString())
        }
        respond(headers, problem.toJson().toByteArray())
    }

    /** Sends the headers of a server-sent event stream. Throws [CancellationException] if the caller disconnected. */
    fun openStream() {
        val headers = ResponseHeaders.builder(200).add(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
        if (!writer.tryWrite(headers.add("x-request-id", request.value).build())) throw disconnected()
    }

    /**
     * Writes an event and suspends when too many events are unread. Throws [CancellationException] if the caller
     * disconnected.
     */
    suspend fun event(data: ByteArray, name: String? = null) {
        val prefix = (name?.let { "event: $it\n" }.orEmpty() + "data: ").toByteArray()
        if (!writer.tryWrite(HttpData.wrap(prefix + data + EVENT_END))) throw disconnected()
        pendingEvents += 1
        if (pendingEvents == MAXIMUM_PENDING_EVENTS) {
            pendingEvents = 0
            writer.whenConsumed().await()
        }
    }

    fun closeStream() = writer.close()

    private fun respond(headers: com.linecorp.armeria.common.ResponseHeadersBuilder, body: ByteArray) {
        headers.add("x-request-id", request.value)
        writer.tryWrite(headers.build())
        if (body.isNotEmpty() && method != "HEAD") writer.tryWrite(HttpData.wrap(body))
        writer.close()
    }

    private fun disconnected() = CancellationException("the caller disconnected")

    private companion object {
        val UNAUTHORIZED = Verdict.NotRun(RefusalReason.UNAUTHORIZED)
        val EVENT_END = "\n\n".toByteArray()

        /** Events that are buffered for a slow caller before the writer suspends. */
        const val MAXIMUM_PENDING_EVENTS = 32
    }
}
