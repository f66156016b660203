package org.zinniahoist.state

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * CBOR form of commands, queries, answers and snapshots.
 *
 * Unknown keys are ignored so that two versions can run side by side.
 */
@OptIn(ExperimentalSerializationApi::class)
public object StateCodec {
    /** The CBOR configuration that all state machines share. */
    public val cbor: Cbor = Cbor { ignoreUnknownKeys = true }

    /** Encodes [value] by its declared type. */
    public inline fun <reified T> encode(value: T): ByteArray = cbor.encodeToByteArray(value)

    /**
     * Decodes [bytes] as the declared type.
     *
     * @throws kotlinx.serialization.SerializationException if [bytes] are no valid encoding.
     */
    public inline fun <reified T> decode(bytes: ByteArray): T = cbor.decodeFromByteArray(bytes)
}
