package org.zinniahoist.daemon.entry

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Verdict
import kotlin.time.Duration

/** Problem document (RFC 9457) that states whether the request may have run. */
internal data class Problem(
    val verdict: Verdict,
    val request: RequestIdentifier,
    val retryAfter: Duration = Duration.ZERO,
) {
    val status: Int get() = when (verdict) {
        is Verdict.NotRun -> verdict.reason.status
        is Verdict.MayHaveRun -> verdict.reason.status
        Verdict.Completed -> 500
    }

    fun toJson(): String = buildJsonObject {
        val (name, reason, detail) = when (verdict) {
            is Verdict.NotRun -> Triple("not-run", verdict.reason.name, verdict.detail)
            is Verdict.MayHaveRun -> Triple("may-have-run", verdict.reason.name, verdict.detail)
            Verdict.Completed -> Triple("completed", "COMPLETED", "")
        }
        put("type", "about:blank")
        put("title", reason.lowercase().replace('_', ' '))
        put("status", status)
        if (detail.isNotEmpty()) put("detail", detail)
        put("verdict", name)
        put("reason", reason)
        put("request", request.value)
    }.toString()

    private val RefusalReason.status: Int get() = when (this) {
        RefusalReason.MALFORMED -> 400
        RefusalReason.UNAUTHORIZED -> 401
        RefusalReason.UNKNOWN_ROUTE -> 404
        RefusalReason.KEY_CONFLICT, RefusalReason.SUPERSEDED -> 409
        RefusalReason.BODY_TOO_LARGE -> 413
        RefusalReason.POISONED -> 422
        RefusalReason.CONCURRENCY_LIMIT -> 429
        RefusalReason.CANCELLED -> 499
        RefusalReason.DEADLINE_EXCEEDED -> 504
        RefusalReason.NO_UPSTREAM,
        RefusalReason.OVERLOADED,
        RefusalReason.CONTROL_UNAVAILABLE,
        RefusalReason.DRAINING,
        RefusalReason.STALE_START,
        -> 503
    }

    private val FailureReason.status: Int get() = when (this) {
        FailureReason.DEADLINE_EXCEEDED, FailureReason.UPSTREAM_SILENT -> 504
        FailureReason.KEY_IN_PROGRESS, FailureReason.OUTCOME_UNKNOWN -> 409
        FailureReason.CANCELLED -> 499
        FailureReason.LINK_LOST, FailureReason.UPSTREAM_CRASHED, FailureReason.INCOMPLETE_ANSWER -> 502
    }

    companion object {
        const val MEDIA_TYPE = "application/problem+json"
    }
}
