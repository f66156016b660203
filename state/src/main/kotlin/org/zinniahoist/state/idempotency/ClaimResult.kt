package org.zinniahoist.state.idempotency

import kotlinx.serialization.Serializable

/** Answer to a claim of an idempotency key. */
@Serializable
public sealed interface ClaimResult {
    /** The run holds the key and may send its request. */
    @Serializable
    public data object Granted : ClaimResult

    /** The key is held by a run with another body. */
    @Serializable
    public data object BodyConflict : ClaimResult

    /** Another run holds the key and has not reported its outcome. */
    @Serializable
    public data object InProgress : ClaimResult

    /** Another run sent the request and lost the answer. */
    @Serializable
    public data object OutcomeUnknown : ClaimResult

    /** Another run completed the request with [outcome]. */
    @Serializable
    public data class Completed(public val outcome: StoredOutcome) : ClaimResult

    /** The run gave the key back before and can't claim again. */
    @Serializable
    public data object RunReleased : ClaimResult
}
