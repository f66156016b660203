package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpResponse
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import java.io.IOException

/** The part of an answer that has a limit. */
internal enum class AnswerPart {
    LINE,
    HEADERS,
    INTERIM_HEADS,
    BODY,
    EVENT,
    EVENTS,
}

/** An upstream sent more than an answer can have; its connection is closed, and nothing of the answer is used. */
internal class AnswerTooLongException(
    val part: AnswerPart,
    val maximum: Long,
) : IOException("answer too long: part=${part.name.lowercase()} maximum=$maximum")

/** Closes the connection of this answer, whose readers fail with [exceeded]. */
internal fun HttpResponse.breakOff(exceeded: AnswerTooLongException): Nothing {
    abort(exceeded)
    throw exceeded
}

/** The most that an answer may have. What is longer is no answer. */
internal data class AnswerLimits(
    /** Bytes of the body. */
    val bodyBytes: Long,
    /** Bytes of an event with its empty line. */
    val eventBytes: Int = EVENT_BYTES,
    /** Events of the body. */
    val events: Long = Long.MAX_VALUE,
) {
    companion object {
        /** Bytes of a status line, and of the line before a chunk. */
        const val LINE_BYTES = 4_096

        /** Bytes of all headers, and of all trailers. */
        const val HEADER_BYTES = 16 * 1_024

        /** Interim heads (1xx) before the head of an answer. */
        const val INTERIM_HEADS = 16L

        private const val EVENT_BYTES = 64 * 1_024

        /** An entry holds several single answers at once in a heap of 80 MB. */
        val SINGLE = AnswerLimits(bodyBytes = 4L shl 20)

        /** The text of the longest run that an upstream has memory for. It is passed on and not held. */
        val STREAM = AnswerLimits(bodyBytes = 32L shl 20)

        /** The platform returns a megabyte of a list at a time at most. */
        val CALL = AnswerLimits(bodyBytes = 1L shl 20)

        private const val TOKEN_BYTES = 1_024L

        /** An upstream may send an event without a token, such as a last one that ends the text. */
        private const val EVENTS_WITHOUT_TOKEN = 16L

        /**
         * Returns the limits of an item with [tokens], 0 if it doesn't state them: each event has a token, and a text
         * fits into one page.
         */
        fun item(tokens: Int): AnswerLimits {
            if (tokens <= 0) return CALL
            val events = tokens + EVENTS_WITHOUT_TOKEN
            return AnswerLimits(minOf(EVENT_BYTES + events * TOKEN_BYTES, CALL.bodyBytes), events = events)
        }

        /** Returns which limit [failure] says to be exceeded, or null if it says something else. */
        fun exceededBy(failure: Throwable): AnswerTooLongException? {
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
