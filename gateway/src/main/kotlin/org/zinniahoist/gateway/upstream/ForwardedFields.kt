package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.RequestHeadersBuilder
import com.linecorp.armeria.common.ResponseHeaders

/**
 * Decides which fields pass from one message to another: all but those that concern one connection or the framing of
 * one message. Used for each request to an upstream or to the platform, and for each response to a client.
 */
internal object ForwardedFields {
    private val CONNECTION_FIELDS = setOf(
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "http2-settings",
        "proxy-connection",
        "proxy-authorization",
        "proxy-authenticate",
        "content-length",
        "expect",
        "host",
    )

    /**
     * Returns a request to [target] at [authority] with those of [fields] that may pass on. Each character of a value
     * is one byte.
     *
     * @param excluded lower-case names of further fields that are left out, because the process sets them itself.
     */
    fun request(
        method: HttpMethod,
        target: String,
        authority: String? = null,
        fields: Iterable<Pair<CharSequence, String>> = emptyList(),
        excluded: Set<String> = emptySet(),
    ): RequestHeadersBuilder {
        val builder = RequestHeaders.builder(method, target)
        authority?.let(builder::authority)
        for ((name, value) in fields) {
            val key = name.toString().lowercase()
            if (mayPass(key) && key !in excluded) builder.add(name, value)
        }
        return builder
    }

    /** Returns a request like the one with [headers], for another connection. */
    fun request(headers: RequestHeaders): RequestHeadersBuilder = request(
        headers.method(),
        headers.path(),
        headers.authority(),
        headers.map { (name, value) -> name to value },
    )

    /** Returns the [headers] of a response for another connection. */
    fun response(headers: ResponseHeaders): ResponseHeaders {
        val builder = ResponseHeaders.builder(headers.status())
        for ((name, value) in headers) {
            if (mayPass(name.toString())) builder.add(name, value)
        }
        return builder.build()
    }

    private fun mayPass(name: String): Boolean = !name.startsWith(':') && name !in CONNECTION_FIELDS
}
