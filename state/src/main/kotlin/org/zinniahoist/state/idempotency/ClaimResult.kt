package org.zinniahoist.state.idempotency

import kotlinx.serialization.Serializable

/** Outcome of a claim of an idempotency key. */
@Serializable
public sealed interface ClaimResult {
    /** The run holds the key and may send its request. */
    @Serializable
    public data object Granted : ClaimResult

    /** The key is held by a run with a different request body. */
    @Serializable
    public data object BodyConflict : ClaimResult

    /** Another run holds the key and has not reported its outcome. */
    @Serializable
    public data object InProgress : ClaimResult

    /** A run sent the request, but its outcome is unknown. */
    @Serializable
    public data object OutcomeUnknown : ClaimResult

    /** A run completed the request with [outcome]. */
    @Serializable
    public data class Completed(public val outcome: StoredOutcome) : ClaimResult

    /** The run has released its key and can't claim one again. */
    @Serializable
    public data object RunReleased : ClaimResult
}
