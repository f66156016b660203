package org.zinniahoist.state.report

import kotlinx.serialization.Serializable

/** A problem document (RFC 9457) that states whether the request may have been executed. */
@Serializable
public data class ProblemReport(
    public val title: String,
    public val status: Int,
    public val detail: String = "",
    /** Whether the request was executed: [NOT_RUN] or [MAY_HAVE_RUN]. */
    public val verdict: String = NOT_RUN,
    public val type: String = "about:blank",
) {
    public companion object {
        /** Verdict for a request that had no effect. */
        public const val NOT_RUN: String = "not-run"

        /** Verdict for a request that may have had an effect. */
        public const val MAY_HAVE_RUN: String = "may-have-run"

        /** Media type of the document. */
        public const val MEDIA_TYPE: String = "application/problem+json"
    }
}

/** Starts or ends the drain of an instance. */
@Serializable
public data class DrainingRequest(public val draining: Boolean)
