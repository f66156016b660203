package org.zinniahoist.state.idempotency

import kotlinx.serialization.Serializable
import org.zinniahoist.model.CallerName

/** Idempotency key that a caller chose for a request; each caller has its own namespace of keys. */
@Serializable
public data class IdempotencyKey(
    public val caller: CallerName,
    public val key: String,
)
