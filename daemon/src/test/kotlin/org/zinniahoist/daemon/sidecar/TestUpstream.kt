package org.zinniahoist.daemon.sidecar

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import org.zinniahoist.model.Endpoint
import java.util.concurrent.CompletableFuture

/** An upstream that the tests control. */
internal class TestUpstream(private val checksTokens: Boolean = false) : AutoCloseable {
    private val streams = MutableStateFlow<List<HttpResponseWriter>>(emptyList())
    private var largestToken = Long.MIN_VALUE

    /** Bodies of the calls that reached the upstream. */
    val calls = MutableStateFlow<List<String>>(emptyList())

    /** Bodies of the orders that were applied. */
    val orders = MutableStateFlow<List<String>>(emptyList())

    @Volatile
    var version: Long? = 1

    /** Answers a call, given its body. */
    @Volatile
    var answer: (ServiceRequestContext, String) -> HttpResponse = { _, body -> HttpResponse.of("done $body") }

    /** Answers an order, given its version. */
    @Volatile
    var swap: (Long) -> HttpStatus = { wanted ->
        version = wanted
        HttpStatus.OK
    }

    private val server = Server.builder()
        .http(0)
        .service("/health") { _, _ -> HttpResponse.of("{}") }
        .service("/load") { _, _ -> json("""{"version":$version}""") }
        .service("/orders") { _, request -> collect(request.aggregate().thenApply { order(it.contentUtf8()) }) }
        .serviceUnder("/") { context, request ->
            collect(
                request.aggregate().thenApply { whole ->
                    calls.update { it + whole.contentUtf8() }
                    answer(context, whole.contentUtf8())
                },
            )
        }
        .requestTimeoutMillis(0)
        .build()
        .also { it.start().join() }

    val endpoint = Endpoint("127.0.0.1", server.activeLocalPort())

    /** Makes calls answer with streams that [write] feeds. */
    fun answerWithStreams() {
        answer = { _, _ ->
            val writer = HttpResponse.streaming()
            writer.write(ResponseHeaders.of(HttpStatus.OK, "content-type", "text/event-stream"))
            streams.update { it + writer }
            writer
        }
    }

    /** Ends the process of the upstream and returns once its port is closed. */
    fun stop() {
        server.stop().join()
    }

    suspend fun stream(index: Int = 0): HttpResponseWriter = streams.first { it.size > index }[index]

    suspend fun awaitCalls(count: Int) {
        calls.first { it.size >= count }
    }

    private fun order(body: String): HttpResponse = synchronized(this) {
        val token = number(body, "fencing_token")
        if (checksTokens && token < largestToken) return HttpResponse.of(HttpStatus.CONFLICT)
        largestToken = maxOf(largestToken, token)
        val status = swap(number(body, "version"))
        if (status.isSuccess) orders.update { it + body }
        HttpResponse.of(status, MediaType.JSON, """{"version":$version}""")
    }

    private fun number(body: String, field: String): Long =
        checkNotNull(Regex("\"$field\":(-?\\d+)").find(body)).groupValues[1].toLong()

    private fun json(body: String) = HttpResponse.of(HttpStatus.OK, MediaType.JSON, body)

    private fun collect(future: CompletableFuture<HttpResponse>): HttpResponse = HttpResponse.of(future)

    override fun close() {
        server.closeAsync()
    }

    companion object {
        fun event(version: Long, tokens: Int): HttpData =
            HttpData.ofUtf8("data: {\"weight_version\":$version,\"tokens\":$tokens}\n\n")

        val DONE: HttpData = HttpData.ofUtf8("data: [DONE]\n\n")
    }
}
