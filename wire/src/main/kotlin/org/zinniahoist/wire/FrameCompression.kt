package org.zinniahoist.wire

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** Fast compression of frames. */
internal object FrameCompression {
    private const val BUFFER_BYTES = 8 * 1_024
    private const val BYTE_MASK = 0xff

    /** Bytes that are looked at, spread over the frame. */
    private const val SAMPLE_BYTES = 1_024

    /**
     * Of 1,024 random bytes 251 of the 256 values are expected; text and numbers have less than 200. A frame that is
     * compressed for two thirds stays below this.
     */
    private const val VALUES_OF_COMPRESSED = 240

    /**
     * Whether [frame] is likely to shrink. Results and configurations travel compressed, and to try again costs 28 µs
     * of processor time a kilobyte.
     */
    fun isWorthwhile(frame: ByteArray): Boolean {
        val sample = minOf(frame.size, SAMPLE_BYTES)
        val seen = BooleanArray(1 shl Byte.SIZE_BITS)
        repeat(sample) { number ->
            val position = number.toLong() * frame.size / sample
            seen[frame[position.toInt()].toInt() and BYTE_MASK] = true
        }
        return seen.count { it } < VALUES_OF_COMPRESSED
    }

    fun compress(frame: ByteArray): ByteArray {
        val deflater = Deflater(Deflater.BEST_SPEED)
        try {
            deflater.setInput(frame)
            deflater.finish()
            val output = ByteArrayOutputStream(frame.size / 2)
            val buffer = ByteArray(BUFFER_BYTES)
            while (!deflater.finished()) output.write(buffer, 0, deflater.deflate(buffer))
            return output.toByteArray()
        } finally {
            deflater.end()
        }
    }

    /** Expands [compressed], at most to [maximumBytes], as a peer must not make this process reserve memory at will. */
    fun expand(compressed: ByteArray, maximumBytes: Int): ByteArray {
        val inflater = Inflater()
        try {
            inflater.setInput(compressed)
            val output = ByteArrayOutputStream(compressed.size * 2)
            val buffer = ByteArray(BUFFER_BYTES)
            while (!inflater.finished()) {
                val count = inflater.inflate(buffer)
                if (count == 0 && !inflater.finished()) throw FrameException("compressed frame is cut short")
                if (output.size() + count >
                    maximumBytes
                ) {
                    throw FrameException("expanded frame exceeds $maximumBytes bytes")
                }
                output.write(buffer, 0, count)
            }
            return output.toByteArray()
        } catch (damage: DataFormatException) {
            throw FrameException("compressed frame is damaged: ${damage.message}", damage)
        } finally {
            inflater.end()
        }
    }
}
