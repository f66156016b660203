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

    /** Guards against bytes that wait on a link and that no gauge shows. */
    @Test
    fun `counts a frame until it is written`() {
        queue.offer(ByteArray(100))
        queue.offer(ByteArray(10))
        queue.tryTake()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(2, 110))
        queue.onWritten()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(1, 10))
    }

    /** Guards against counts that grow by frames which were never queued. */
    @Test
    fun `does not count a refused frame`() {
        repeat(2) { expectThat(queue.offer(ByteArray(10))).isTrue() }
        expectThat(queue.offer(ByteArray(10))).isFalse()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(2, 20))
        queue.close()
        expectThat(queue.offer(ByteArray(10))).isFalse()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(2, 20))
    }

    /** Guards against a link that takes no more messages because senders gave up while its queue was full. */
    @Test
    fun `does not count a frame whose sender has given up`(): Unit = runBlocking {
        repeat(2) { queue.offer(ByteArray(10)) }
        val sent = withTimeoutOrNull(10.milliseconds) { queue.send(ByteArray(1_000)) }
        expectThat(sent).isNull()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(2, 20))
    }

    /** Guards against counts that outlive the frames of a cancelled queue. */
    @Test
    fun `counts nothing once it is cancelled`() {
        queue.offer(ByteArray(10))
        queue.cancel()
        expectThat(queue.unsent).isEqualTo(UnsentFrames(0, 0))
    }
}
