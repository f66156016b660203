package org.zinniahoist.wire

import org.junit.jupiter.api.Test
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.Revision
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.random.Random

class FrameCodecTest {
    private val messages = listOf(
        LinkMessage.Heartbeat(7, 3, true, Revision(9), LoadReport(running = 2)),
        LinkMessage.Goodbye("done"),
        AttemptMessage.AttemptChunk(AttemptIdentifier("a"), 3, byteArrayOf(1, 2, 3), 1),
        AttemptMessage.StartAttempt(
            AttemptIdentifier("a"),
            RequestIdentifier("r"),
            1,
            1_000,
            RequestOrigin.Live(org.zinniahoist.model.CallerName("c")),
            UpstreamCall("POST", "/v1/completions", "application/json", "{}".toByteArray()),
            5,
        ),
    )

    @Test
    fun `a message is unchanged after encoding and decoding`() {
        val message = messages.first()
        expectThat(FrameCodec.decode(FrameCodec.encode(message))).isEqualTo(DecodedFrame.Whole(message))
    }

    @Test
    fun `every truncation of a frame is reported as damaged`() {
        messages.map(FrameCodec::encode).forEach { bytes ->
            bytes.indices.forEach { length ->
                expectThat(FrameCodec.decode(bytes.copyOf(length))).isA<DecodedFrame.Damaged>()
            }
        }
    }

    /** Guards against a decoder that crashes the process on malicious input, by an Error or by memory exhaustion. */
    @Test
    fun `mutated and random bytes are decoded or reported as damaged`() {
        val random = Random(20_261_204)
        var damaged = 0
        repeat(ROUNDS) { round ->
            val bytes = if (round % 2 == 0) mutatedFrame(random) else random.nextBytes(random.nextInt(1, 64))
            if (FrameCodec.decode(bytes) is DecodedFrame.Damaged) damaged += 1
        }
        expectThat(damaged > ROUNDS / 2).isEqualTo(true)
    }

    private fun mutatedFrame(random: Random): ByteArray {
        val bytes = FrameCodec.encode(messages.random(random))
        repeat(random.nextInt(1, 4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
        return bytes
    }

    private companion object {
        const val ROUNDS = 50_000
    }
}
