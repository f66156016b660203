@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.consensus

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import java.nio.ByteBuffer

/**
 * Encodes checksummed frames: magic number (4 bytes), payload length (4 bytes), XXH3 hash (8 bytes), CBOR payload.
 *
 * Each frame is synced before the next one is written. A damaged frame followed by a valid one is therefore corruption,
 * whereas a damaged frame at the end of the last segment may be a write torn by a crash.
 */
internal object FrameCodec {
    const val HEADER_BYTES = 16
    private const val MAGIC = 0x7A6E6831
    private const val MAXIMUM_PAYLOAD_BYTES = 1 shl 30

    /** CBOR (RFC 8949): byte string of length 0, and the first byte of one whose length follows in 4 bytes. */
    private const val EMPTY_BYTE_STRING: Byte = 0x40
    private const val BYTE_STRING_WITH_LENGTH: Byte = 0x5A
    private const val BYTE_STRING_HEADER_BYTES = 5

    val cbor =
        Cbor {
            ignoreUnknownKeys = true
            useDefiniteLengthEncoding = true
            preferCborLabelsOverNames = true
        }

    fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray {
        val payload = cbor.encodeToByteArray(serializer, value)
        return frame(payload.size) { it.put(payload) }
    }

    /**
     * Encodes [snapshot] in the format of [encode], but copies its data only once. The encoder of the library takes six
     * times the size of the data, which a process with a large state may not have.
     */
    fun encodeSnapshot(snapshot: Snapshot): ByteArray {
        val empty = with(snapshot) { Snapshot(index, term, timeMilliseconds, configuration, ByteArray(0)) }
        val payload = cbor.encodeToByteArray(Snapshot.serializer(), empty)
        check(payload.last() == EMPTY_BYTE_STRING) { "the data is not the last field of a snapshot" }
        val size = payload.size - 1 + BYTE_STRING_HEADER_BYTES + snapshot.data.size
        return frame(size) { buffer ->
            buffer.put(payload, 0, payload.size - 1)
            buffer.put(BYTE_STRING_WITH_LENGTH).putInt(snapshot.data.size).put(snapshot.data)
        }
    }

    private fun frame(payloadBytes: Int, write: (ByteBuffer) -> Unit): ByteArray {
        val buffer = ByteBuffer.allocate(HEADER_BYTES + payloadBytes).position(HEADER_BYTES)
        write(buffer)
        val bytes = buffer.array()
        buffer.position(0).putInt(MAGIC).putInt(payloadBytes).putLong(checksum(bytes, HEADER_BYTES, payloadBytes))
        return bytes
    }

    /** Returns the length of the frame at [offset] in bytes, or null if there is no valid frame. */
    fun frameLength(bytes: ByteArray, offset: Int): Int? {
        if (bytes.size - offset < HEADER_BYTES) return null
        val header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES)
        if (header.getInt() != MAGIC) return null
        val length = header.getInt()
        if (length < 0 || length > MAXIMUM_PAYLOAD_BYTES || length > bytes.size - offset - HEADER_BYTES) return null
        if (header.getLong() != checksum(bytes, offset + HEADER_BYTES, length)) return null
        return HEADER_BYTES + length
    }

    fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteArray,
        offset: Int,
        length: Int,
    ): T = cbor.decodeFromByteArray(serializer, bytes.copyOfRange(offset + HEADER_BYTES, offset + length))

    /** Returns true if a valid frame starts anywhere after [offset]. */
    fun hasFrameAfter(bytes: ByteArray, offset: Int): Boolean =
        (offset + 1..bytes.size - HEADER_BYTES).any { frameLength(bytes, it) != null }

    private fun checksum(bytes: ByteArray, offset: Int, length: Int): Long =
        Hashing.xxh3_64().hashBytesToLong(bytes, offset, length)
}
