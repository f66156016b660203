package org.zinniahoist.wire

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater

/** Fast compression of frames. */
internal object FrameCompression {
    private const val BUFFER_BYTES = 8 * 1_024
    private const val SAMPLES = 1_024
    private const val BYTE_VALUES = 256

    /**
     * Pairs of equal bytes in a sample. Bytes that are compressed already have some 4,000, base64 some 16,000 and text
     * more.
     */
    private const val FEWEST_EQUAL_PAIRS = 8_000

    /** False if [frame] holds mostly what is compressed already, as the entries of a log that list results. */
    fun isWorthwhile(frame: ByteArray): Boolean {
        if (frame.size < SAMPLES) return true
        val counts = IntArray(BYTE_VALUES)
        for (sample in 0..<SAMPLES) {
            val position = sample.toLong() * frame.size / SAMPLES
            counts[frame[position.toInt()].toInt() and (BYTE_VALUES - 1)]++
        }
        return counts.sumOf { it * (it - 1) } >= FEWEST_EQUAL_PAIRS
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
