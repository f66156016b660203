package org.zinniahoist.standin.client

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.zinniahoist.standin.http.standInJson
import java.net.URI

/** An RFC 9457 problem document of zinniahoist, or what could be read of it. */
@Serializable
public data class Problem(
    public val status: Int,
    public val verdict: String? = null,
    public val title: String = "",
    public val detail: String = "",
    public val retryAfter: String? = null,
)

/** Requests to one of several entries in turn, as a load balancer would spread them. */
internal class EntryClient(
    entries: List<URI>,
    private val token: String,
    factory: ClientFactory,
) {
    private val clients =
        entries.map { entry ->
            WebClient
                .builder(entry)
                .factory(factory)
                .responseTimeoutMillis(0)
                .maxResponseLength(0)
                .build()
        }
    private val next =
        java.util.concurrent.atomic
            .AtomicInteger()

    fun send(
        method: HttpMethod,
        path: String,
        body: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse {
        val builder = RequestHeaders.builder(method, path).add("authorization", "Bearer $token")
        headers.forEach { (name, value) -> builder.add(name, value) }
        val client = clients[Math.floorMod(next.getAndIncrement(), clients.size)]
        if (body == null) return client.execute(HttpRequest.of(builder.build()))
        builder.contentType(MediaType.JSON)
        return client.execute(builder.build(), body)
    }
}

/** Reads the refusal in this response. */
internal fun AggregatedHttpResponse.problem(): Problem =
    problemOf(status().code(), headers().get("retry-after"), contentUtf8())

internal fun problemOf(status: Int, retryAfter: String?, content: String): Problem {
    val document =
        try {
            standInJson.decodeFromString<ProblemDocument>(content)
        } catch (_: SerializationException) {
            ProblemDocument(detail = content)
        }
    return Problem(status, document.verdict, document.title, document.detail, retryAfter)
}

@Serializable
private data class ProblemDocument(
    val verdict: String? = null,
    val title: String = "",
    val detail: String = "",
)
