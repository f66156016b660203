package org.zinniahoist.wire

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.selects.SelectClause1
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Bounded queue of the encoded frames that a link has yet to write, with counts of frames and bytes.
 *
 * Any thread may enqueue; only the link's writer coroutine dequeues.
 */
internal class SendQueue(
    maximumFrames: Int,
    private val maximumBytes: Long,
) {
    private val channel = Channel<ByteArray>(maximumFrames, onUndeliveredElement = { countRemoved(it.size) })
    private val frames = AtomicInteger()
    private val bytes = AtomicLong()

    /** Size of the frame that is dequeued but not yet written. Accessed by the writer coroutine only. */
    private var inFlightBytes = NO_FRAME

    val unsent: UnsentFrames get() = UnsentFrames(frames.get(), bytes.get())

    /** Enqueues [frame], suspending while the queue is full. Returns false if the queue is closed or cancelled. */
    suspend fun send(frame: ByteArray): Boolean {
        countAdded(frame)
        return try {
            channel.send(frame)
            true
        } catch (_: ClosedSendChannelException) {
            false
        } catch (_: CancellationException) {
            // Closing the link cancels the queue. Rethrows the exception only if the sending coroutine is cancelled.
            currentCoroutineContext().ensureActive()
            false
        }
    }

    /**
     * Enqueues [frame] without suspending. Returns false if the queue is full or closed.
     *
     * The byte limit is checked before the frame is added, so the last accepted frame may exceed it.
     */
    fun offer(frame: ByteArray): Boolean {
        if (bytes.get() >= maximumBytes) return false
        countAdded(frame)
        val isQueued = channel.trySend(frame).isSuccess
        if (!isQueued) countRemoved(frame.size)
        return isQueued
    }

    fun tryDequeue(): ByteArray? = channel.tryReceive().getOrNull()?.also(::markInFlight)

    /** Selects the next frame, or the closed state of the queue. The caller must pass the frame to [markInFlight]. */
    val onDequeue: SelectClause1<ChannelResult<ByteArray>> get() = channel.onReceiveCatching

    /** Records [frame] as in flight until [markWritten] is called. */
    fun markInFlight(frame: ByteArray?) {
        if (frame != null) inFlightBytes = frame.size
    }

    /** Removes the frame in flight, if any, from the unsent counts. */
    fun markWritten() {
        if (inFlightBytes == NO_FRAME) return
        countRemoved(inFlightBytes)
        inFlightBytes = NO_FRAME
    }

    /** Rejects new frames; queued frames can still be dequeued. */
    fun close() {
        channel.close()
    }

    /** Rejects new frames, discards queued frames and resumes suspended senders. */
    fun cancel() {
        channel.cancel()
    }

    private fun countAdded(frame: ByteArray) {
        frames.incrementAndGet()
        bytes.addAndGet(frame.size.toLong())
    }

    private fun countRemoved(size: Int) {
        frames.decrementAndGet()
        bytes.addAndGet(-size.toLong())
    }

    private companion object {
        const val NO_FRAME = -1
    }
}
