package org.zinniahoist.state.idempotency

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** The response of an upstream, which is replayed to a repeated request with the same idempotency key. */
@Serializable
public class StoredOutcome(
    public val status: Int,
    public val contentType: String,
    @ByteString public val body: ByteArray,
) {
    override fun equals(other: Any?): Boolean = other is StoredOutcome &&
        status == other.status &&
        contentType == other.contentType &&
        body.contentEquals(other.body)

    override fun hashCode(): Int = 31 * status + body.contentHashCode()
}
