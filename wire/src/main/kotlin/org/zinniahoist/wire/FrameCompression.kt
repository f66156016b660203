package org.zinniahoist.wire

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** Compresses frames with DEFLATE at its fastest level. */
internal object FrameCompression {
    private const val BUFFER_BYTES = 8 * 1_024
    private const val SAMPLED_BYTES = 1_024
    private const val BYTE_VALUES = 256

    /**
     * Number of ordered pairs of equal bytes in a sample from which a frame counts as compressible. Compressed data has
     * about 4,000, base64 about 16,000 and text more.
     */
    private const val MINIMUM_EQUAL_PAIRS = 8_000

    /**
     * Estimates from a sample of its bytes whether [frame] is compressible. Returns false if most of it is compressed
     * data, such as log entries that contain job results.
     */
    fun isCompressible(frame: ByteArray): Boolean {
        if (frame.size < SAMPLED_BYTES) return true
        val counts = IntArray(BYTE_VALUES)
        for (sample in 0..<SAMPLED_BYTES) {
            val position = sample.toLong() * frame.size / SAMPLED_BYTES
            counts[frame[position.toInt()].toInt() and (BYTE_VALUES - 1)]++
        }
        return counts.sumOf { it * (it - 1) } >= MINIMUM_EQUAL_PAIRS
    }

    /** Compresses [frame]. The result may be larger than the input. */
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

    /**
     * Decompresses [compressed]. The limit of [maximumBytes] keeps a peer from making this process allocate memory
     * without bound.
     *
     * @throws FrameException if the data is truncated, corrupt or decompresses to more than [maximumBytes].
     */
    fun decompress(compressed: ByteArray, maximumBytes: Int): ByteArray {
        val inflater = Inflater()
        try {
            inflater.setInput(compressed)
            val output = ByteArrayOutputStream(compressed.size * 2)
            val buffer = ByteArray(BUFFER_BYTES)
            while (!inflater.finished()) {
                val count = inflater.inflate(buffer)
                if (count == 0 && !inflater.finished()) throw FrameException("compressed frame is truncated")
                if (output.size() + count >
                    maximumBytes
                ) {
                    throw FrameException("decompressed frame exceeds $maximumBytes bytes")
                }
                output.write(buffer, 0, count)
            }
            return output.toByteArray()
        } catch (fault: DataFormatException) {
            throw FrameException("compressed frame is corrupt: ${fault.message}", fault)
        } finally {
            inflater.end()
        }
    }
}
