package org.zinniahoist.gateway.upstream

import com.linecorp.armeria.common.ResponseHeaders
import org.zinniahoist.gateway.dialect.HeaderNames

/**
 * What the head of an upstream's response says about the run of its request.
 *
 * @property allowsRepetition true if the request may be sent again under its identifier after such a response. A late
 * copy of it on the same connection would be taken for the response to that attempt, so the connection must end first.
 */
internal enum class RunStatement(val allowsRepetition: Boolean) {
    /** The upstream did not run the request. */
    NOT_RUN(allowsRepetition = true),

    /** The address belongs to another upstream than the expected one, which did not run the request. */
    MISDIRECTED(allowsRepetition = true),

    /** The upstream rejected the request and does not say whether it ran it. Its client may come again. */
    REJECTED(allowsRepetition = true),

    /** The run failed. */
    FAILED(allowsRepetition = true),

    /** The response settles the request, apart from its body and the signature of a success. */
    SETTLED(allowsRepetition = false),

    ;

    companion object {
        private const val REQUEST_TIMEOUT = 408
        private const val MISDIRECTED_REQUEST = 421
        private const val TOO_MANY_REQUESTS = 429
        private const val SERVER_ERROR = 500

        /** Returns what a response with [status] says; [isMarkedNotRun] if it has the header of a refusal. */
        fun of(status: Int, isMarkedNotRun: Boolean): RunStatement = when {
            status == MISDIRECTED_REQUEST -> MISDIRECTED
            isMarkedNotRun -> NOT_RUN
            status == REQUEST_TIMEOUT || status == TOO_MANY_REQUESTS -> REJECTED
            status >= SERVER_ERROR -> FAILED
            else -> SETTLED
        }
    }
}

/** Returns what the [response] of an upstream says about the run of its request. */
internal fun HeaderNames.runStatement(response: ResponseHeaders): RunStatement =
    RunStatement.of(response.status().code(), response.contains(notRun))
