package org.zinniahoist.standin.client

import org.zinniahoist.standin.engine.VersionSpan

/** Outcome of one request of a [LiveCaller]. */
public sealed interface LiveOutcome {
    /**
     * A whole answer by its form. [defect] states why it is not the right answer, or is null. The times are in
     * nanoseconds since the request was sent.
     */
    public data class Answered(
        public val text: String,
        public val tokens: Int,
        public val spans: List<VersionSpan>,
        public val firstTokenNanoseconds: Long,
        public val totalNanoseconds: Long,
        public val defect: String?,
    ) : LiveOutcome

    /** The answer of a plain service. */
    public data class Served(
        public val status: Int,
        public val body: String,
        public val totalNanoseconds: Long,
    ) : LiveOutcome

    /** A refusal or another status that is not a success. */
    public data class Refused(public val problem: Problem) : LiveOutcome

    /** The connection broke or the answer was cut short. */
    public data class Broken(
        public val cause: String,
        public val text: String,
    ) : LiveOutcome
}
