package org.zinniahoist.state.idempotency

import kotlinx.serialization.Serializable
import org.zinniahoist.model.CallerName

/** A key that one caller chose for one request. Keys of different callers are independent. */
@Serializable
public data class IdempotencyKey(
    public val caller: CallerName,
    public val key: String,
)
