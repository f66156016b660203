package org.zinniahoist.operator

import arrow.core.Either
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import java.io.File
import java.time.Duration

/** Answer to an HTTP request. */
internal data class HttpAnswer(
    val status: Int,
    val body: String,
)

/**
 * Sends HTTP requests.
 *
 * @param token bearer token, or null to send none.
 * @param trust PEM file with the certificates that servers are checked with, or null for those of the Java runtime.
 */
internal class HttpAccess(
    private val token: String?,
    trust: File? = null,
) {
    private val client: WebClient = WebClient.builder()
        .factory(factory(trust))
        .responseTimeout(TIMEOUT)
        .maxResponseLength(MAXIMUM_ANSWER_BYTES)
        .build()

    /** Returns the answer, or why there is none. */
    fun call(method: String, url: String, body: String = ""): Either<String, HttpAnswer> = Either.catch {
        val headers = RequestHeaders.builder(HttpMethod.valueOf(method), url)
        token?.let { headers.add("authorization", "Bearer $it") }
        if (body.isNotEmpty()) headers.contentType(MediaType.JSON_UTF_8)
        val answer = client.execute(HttpRequest.of(headers.build(), HttpData.ofUtf8(body))).aggregate().join()
        HttpAnswer(answer.status().code(), answer.contentUtf8())
    }.mapLeft { failure -> (failure.cause ?: failure).let { it.cause ?: it }.message ?: failure.toString() }

    private fun factory(trust: File?): ClientFactory = if (trust == null) {
        ClientFactory.ofDefault()
    } else {
        ClientFactory.builder().tlsCustomizer { it.trustManager(trust) }.build()
    }

    private companion object {
        /** Control answers within 5 s, which cover an election. */
        val TIMEOUT: Duration = Duration.ofSeconds(10)

        /** A tree of 100,000 keys has about 20 MB. */
        const val MAXIMUM_ANSWER_BYTES = 64L * 1_024 * 1_024
    }
}
