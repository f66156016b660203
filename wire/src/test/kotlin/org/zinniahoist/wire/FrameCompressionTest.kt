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

    /** Guards against frames that differ after their way over a link. */
    @Test
    fun `gives back what was compressed`() {
        for (frame in listOf(text, Random(1).nextBytes(100_000))) {
            val compressed = FrameCompression.compress(frame)
            expectThat(FrameCompression.expand(compressed, frame.size)).contentEquals(frame)
        }
        expectThat(FrameCompression.compress(text).size).isLessThan(text.size / 10)
    }

    /** Guards against a leader whose processor time is spent on compressing the results of its log once more. */
    @Test
    fun `what is compressed already is not compressed again`() {
        val packed = FrameCompression.compress(Base64.getEncoder().encode(Random(1).nextBytes(10_000)))
        val entry = PeerMessage.PeerReply(1, status = 200, contentType = "application/cbor", packed)
        expectThat(FrameCompression.isWorthwhile(FrameCodec.encode(entry))).isFalse()
        expectThat(FrameCompression.isWorthwhile(packed)).isFalse()
    }

    /** Guards against a look at each frame that costs as much as its compression. */
    @Test
    fun `the look at a frame costs a small part of its compression`() {
        val frame = Random(1).nextBytes(4_000)
        val look = processorTime { FrameCompression.isWorthwhile(frame) }
        val compression = processorTime { FrameCompression.compress(frame) }
        println("\ncost name=frame-look nanoseconds=$look\ncost name=frame-compression nanoseconds=$compression")
        expectThat(look).isLessThan(compression / 5)
    }

    /** Nanoseconds of processor time that [action] takes once its code is compiled. */
    private fun processorTime(action: () -> Any): Long {
        val threads = ManagementFactory.getThreadMXBean()
        repeat(ROUNDS) { action() }
        val start = threads.currentThreadCpuTime
        repeat(ROUNDS) { action() }
        return (threads.currentThreadCpuTime - start) / ROUNDS
    }

    /** Guards against texts, alone or beside what is compressed, that cross failure domains as they are. */
    @Test
    fun `texts are compressed`() {
        val base64 = Base64.getEncoder().encode(Random(1).nextBytes(10_000))
        for (frame in listOf(text, base64, text + Random(1).nextBytes(text.size))) {
            expectThat(FrameCompression.isWorthwhile(frame)).isTrue()
        }
    }

    /** Guards against a small frame that expands without a bound, and against one that is cut short. */
    @Test
    fun `refuses frames that are too large or damaged`() {
        val compressed = FrameCompression.compress(text)
        expectCatching { FrameCompression.expand(compressed, text.size - 1) }.isFailure().isA<FrameException>()
        expectCatching { FrameCompression.expand(compressed.copyOf(compressed.size / 2), text.size) }
            .isFailure()
            .isA<FrameException>()
        expectCatching {
            FrameCompression.expand(Random(2).nextBytes(100), text.size)
        }.isFailure().isA<FrameException>()
    }

    private companion object {
        const val ROUNDS = 2_000
    }
}
