package org.zinniahoist.wire

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds

internal class SendQueueTest {
    private val queue = SendQueue(maximumFrames = 2, maximumBytes = 1_000)

    /** Guards against unsent bytes that are missing from the gauges. */
    @Test
    fun `counts a frame until it is written`() {
        queue.offer(ByteArray(100))
        queue.offer(ByteArray(10))
        queue.tryDequeue()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(2, 110))
        queue.markWritten()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(1, 10))
    }

    /** Guards against counts that include rejected frames. */
    @Test
    fun `does not count a rejected frame`() {
        repeat(2) { expectThat(queue.offer(ByteArray(10))).isTrue() }
        expectThat(queue.offer(ByteArray(10))).isFalse()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(2, 20))
        queue.close()
        expectThat(queue.offer(ByteArray(10))).isFalse()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(2, 20))
    }

    /** Guards against a link that rejects all messages because cancelled senders of a full queue are still counted. */
    @Test
    fun `does not count a frame whose sender was cancelled`(): Unit = runBlocking {
        repeat(2) { queue.offer(ByteArray(10)) }
        val sent = withTimeoutOrNull(10.milliseconds) { queue.send(ByteArray(1_000)) }
        expectThat(sent).isNull()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(2, 20))
    }

    /** Guards against counts that include the discarded frames of a cancelled queue. */
    @Test
    fun `has no unsent frames after it is cancelled`() {
        queue.offer(ByteArray(10))
        queue.cancel()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(0, 0))
    }
}
