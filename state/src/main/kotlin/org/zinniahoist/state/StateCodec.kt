package org.zinniahoist.state

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Encodes commands, queries, answers and snapshots as CBOR.
 *
 * Unknown keys are ignored, so that replicas of two software versions can run side by side.
 */
@OptIn(ExperimentalSerializationApi::class)
public object StateCodec {
    /** CBOR format shared by all state machines. */
    public val cbor: Cbor = Cbor { ignoreUnknownKeys = true }

    /** Encodes [value] as its declared type. */
    public inline fun <reified T> encode(value: T): ByteArray = cbor.encodeToByteArray(value)

    /**
     * Decodes [bytes] as the declared type.
     *
     * @throws kotlinx.serialization.SerializationException if [bytes] are not a valid encoding of the type.
     */
    public inline fun <reified T> decode(bytes: ByteArray): T = cbor.decodeFromByteArray(bytes)
}
