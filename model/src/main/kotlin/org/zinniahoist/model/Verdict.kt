package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Outcome of an attempt, which tells whether the request may have run on an upstream. */
@Serializable
public sealed interface Verdict {
    /** No byte of the request was sent to an upstream. */
    @Serializable
    public data class NotRun(
        public val reason: RefusalReason,
        public val detail: String = "",
    ) : Verdict

    /** The request was sent to an upstream and its outcome is unknown. */
    @Serializable
    public data class MayHaveRun(
        public val reason: FailureReason,
        public val detail: String = "",
    ) : Verdict

    /** The upstream returned a complete response. */
    @Serializable
    public data object Completed : Verdict
}

/** Reason for which a request was rejected before it ran. */
@Serializable
public enum class RefusalReason {
    MALFORMED,
    UNAUTHORIZED,
    UNKNOWN_ROUTE,
    BODY_TOO_LARGE,
    NO_UPSTREAM,
    OVERLOADED,
    CONCURRENCY_LIMIT,
    DEADLINE_EXCEEDED,
    CONTROL_UNAVAILABLE,
    KEY_CONFLICT,
    POISONED,
    DRAINING,
    STALE_START,
    SUPERSEDED,
    CANCELLED,
}

/** Reason for which the outcome of a request that may have run is unknown. */
@Serializable
public enum class FailureReason {
    LINK_LOST,
    UPSTREAM_CRASHED,
    UPSTREAM_SILENT,
    DEADLINE_EXCEEDED,
    INCOMPLETE_ANSWER,
    KEY_IN_PROGRESS,
    OUTCOME_UNKNOWN,
    CANCELLED,
}
