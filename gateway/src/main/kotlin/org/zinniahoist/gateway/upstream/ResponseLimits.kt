package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpResponse
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import java.io.IOException

/** A part of a response whose size is limited. */
internal enum class AnswerPart {
    LINE,
    HEADERS,
    INTERIM_HEADS,
    BODY,
    EVENT,
    EVENTS,
}

/** A response exceeded a size limit. Its connection is closed and the response is discarded. */
internal class AnswerTooLongException(
    val part: AnswerPart,
    val maximum: Long,
) : IOException("answer too long: part=${part.name.lowercase()} maximum=$maximum")

/** Aborts this response and closes its connection. Its subscribers fail with [exceeded]. */
internal fun HttpResponse.abortWith(exceeded: AnswerTooLongException): Nothing {
    abort(exceeded)
    throw exceeded
}

/** Size limits of a response. A response that exceeds them is rejected. */
internal data class ResponseLimits(
    /** Maximum size of the body in bytes. */
    val bodyBytes: Long,
    /** Maximum size of an event in bytes, including its terminating empty line. */
    val eventBytes: Int = EVENT_BYTES,
    /** Maximum number of events in the body. */
    val events: Long = Long.MAX_VALUE,
) {
    companion object {
        /** Maximum size in bytes of a status line, and of a chunk header line. */
        const val LINE_BYTES = 4_096

        /** Maximum size in bytes of all headers together, and of all trailers. */
        const val HEADER_BYTES = 16 * 1_024

        /** Maximum number of informational (1xx) responses before the final one. */
        const val INTERIM_HEADS = 16L

        private const val EVENT_BYTES = 64 * 1_024

        /** Limits of a unary response. An entry buffers several of them at once in a heap of 80 MB. */
        val SINGLE = ResponseLimits(bodyBytes = 4L shl 20)

        /** Limits of a streamed response: the longest generation that fits an upstream's memory. It is not buffered. */
        val STREAM = ResponseLimits(bodyBytes = 32L shl 20)

        /** Limits of a control call: the platform returns list pages of at most 1 MB. */
        val CALL = ResponseLimits(bodyBytes = 1L shl 20)

        private const val TOKEN_BYTES = 1_024L

        /** Allowance for events without a token, such as a final event that ends the text. */
        private const val EVENTS_WITHOUT_TOKEN = 16L

        /**
         * Returns the limits for an item of at most [tokens] tokens, 0 if unspecified. They assume one token per event
         * and a text that fits into one page of results.
         */
        fun item(tokens: Int): ResponseLimits {
            if (tokens <= 0) return CALL
            val events = tokens + EVENTS_WITHOUT_TOKEN
            return ResponseLimits(minOf(EVENT_BYTES + events * TOKEN_BYTES, CALL.bodyBytes), events = events)
        }

        /** Returns the limit violation that caused [failure], or null if it has another cause. */
        fun limitViolation(failure: Throwable): AnswerTooLongException? {
            val causes = generateSequence(failure) { it.cause }.take(MAXIMUM_CAUSES)
            return causes.firstNotNullOfOrNull { cause ->
                when (cause) {
                    is AnswerTooLongException -> cause
                    is ContentTooLargeException -> AnswerTooLongException(AnswerPart.BODY, cause.maxContentLength())
                    is TooLongHttpLineException -> AnswerTooLongException(AnswerPart.LINE, LINE_BYTES.toLong())
                    is TooLongHttpHeaderException -> AnswerTooLongException(AnswerPart.HEADERS, HEADER_BYTES.toLong())
                    else -> null
                }
            }
        }

        private const val MAXIMUM_CAUSES = 8
    }
}
