package org.zinniahoist.wire

import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.contentEquals
import strikt.assertions.isA
import strikt.assertions.isFailure
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.lang.management.ManagementFactory
import java.util.Base64
import kotlin.random.Random

internal class FrameCompressionTest {
    private val text = "the same words again and again ".repeat(2_000).encodeToByteArray()

    /** Guards against frames that are corrupted by compression. */
    @Test
    fun `decompressing restores the original bytes`() {
        for (frame in listOf(text, Random(1).nextBytes(100_000))) {
            val compressed = FrameCompression.compress(frame)
            expectThat(FrameCompression.decompress(compressed, frame.size)).contentEquals(frame)
        }
        expectThat(FrameCompression.compress(text).size).isLessThan(text.size / 10)
    }

    /** Guards against a leader that wastes processor time on recompressing the results in its log. */
    @Test
    fun `compressed data is not compressed again`() {
        val compressed = FrameCompression.compress(Base64.getEncoder().encode(Random(1).nextBytes(10_000)))
        val entry = PeerMessage.PeerReply(1, status = 200, contentType = "application/cbor", compressed)
        expectThat(FrameCompression.isCompressible(FrameCodec.encode(entry))).isFalse()
        expectThat(FrameCompression.isCompressible(compressed)).isFalse()
    }

    /** Guards against an estimate of compressibility that costs as much as the compression. */
    @Test
    fun `the estimate of compressibility costs a fraction of the compression`() {
        val frame = Random(1).nextBytes(4_000)
        val estimate = processorTime { FrameCompression.isCompressible(frame) }
        val compression = processorTime { FrameCompression.compress(frame) }
        println("\ncost name=frame-look nanoseconds=$estimate\ncost name=frame-compression nanoseconds=$compression")
        expectThat(estimate).isLessThan(compression / 5)
    }

    /** Returns the mean processor time of [action] in nanoseconds after a warm-up. */
    private fun processorTime(action: () -> Any): Long {
        val threads = ManagementFactory.getThreadMXBean()
        repeat(REPETITIONS) { action() }
        val start = threads.currentThreadCpuTime
        repeat(REPETITIONS) { action() }
        return (threads.currentThreadCpuTime - start) / REPETITIONS
    }

    /** Guards against text, alone or mixed with compressed data, that is sent uncompressed between failure domains. */
    @Test
    fun `text is compressible`() {
        val base64 = Base64.getEncoder().encode(Random(1).nextBytes(10_000))
        for (frame in listOf(text, base64, text + Random(1).nextBytes(text.size))) {
            expectThat(FrameCompression.isCompressible(frame)).isTrue()
        }
    }

    /** Guards against decompression bombs and against accepting truncated frames. */
    @Test
    fun `rejects frames that are too large or corrupt`() {
        val compressed = FrameCompression.compress(text)
        expectCatching { FrameCompression.decompress(compressed, text.size - 1) }.isFailure().isA<FrameException>()
        expectCatching { FrameCompression.decompress(compressed.copyOf(compressed.size / 2), text.size) }
            .isFailure()
            .isA<FrameException>()
        expectCatching {
            FrameCompression.decompress(Random(2).nextBytes(100), text.size)
        }.isFailure().isA<FrameException>()
    }

    /** Guards against processor time spent on results and configurations that are already compressed. */
    @Test
    fun `only frames that are likely to shrink count as compressible`() {
        val random = Random(3)
        for (size in listOf(1_024, 1_500, 5_000, 100_000)) {
            expectThat(FrameCompression.isCompressible(random.nextBytes(size))).isFalse()
            expectThat(FrameCompression.isCompressible(text.copyOf(size))).isTrue()
            expectThat(FrameCompression.isCompressible(text.copyOf(size / 2) + random.nextBytes(size / 2))).isTrue()
        }
        expectThat(FrameCompression.isCompressible(FrameCompression.compress(random.nextBytes(5_000)))).isFalse()
    }

    private companion object {
        const val REPETITIONS = 2_000
    }
}
