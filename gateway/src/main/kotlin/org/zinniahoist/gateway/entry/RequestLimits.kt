package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import org.zinniahoist.policy.routes.ClientLimits

/** Applies the limits of the configuration to the sizes of requests, as HTTP/1 writes them. */
internal object RequestLimits {
    /** Bytes of a header field beside its name and value: the colon, a space and the end of the line. */
    private const val FIELD_OVERHEAD_BYTES = 4
    private const val LINE_END_BYTES = 2

    /** Returns the status for [request] with [bodyBytes] if it exceeds [limits], or null if it does not. */
    fun violation(request: HttpRequest, bodyBytes: Int, limits: ClientLimits): HttpStatus? {
        val line = "${request.method()} ${request.path()} HTTP/1.1"
        return when {
            line.length > limits.headerBytes -> HttpStatus.REQUEST_URI_TOO_LONG
            headBytes(line, request.headers()) > limits.headerBytes -> HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            bodyBytes > limits.bodyBytes -> HttpStatus.REQUEST_ENTITY_TOO_LARGE
            else -> null
        }
    }

    private fun headBytes(line: String, headers: RequestHeaders): Int {
        val host = headers.authority()?.let { "host".length + it.length + FIELD_OVERHEAD_BYTES } ?: 0
        val fields = headers.filter { (name, _) -> !name.startsWith(":") && !name.contentEquals("host") }
        return line.length + LINE_END_BYTES + host + LINE_END_BYTES +
            fields.sumOf { (name, value) -> name.length + value.length + FIELD_OVERHEAD_BYTES }
    }
}
