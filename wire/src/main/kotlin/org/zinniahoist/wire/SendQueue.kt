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

/** Frames that wait for the writer of a link, and their bytes. Any thread puts frames in; the writer takes them. */
internal class SendQueue(
    maximumFrames: Int,
    private val maximumBytes: Long,
) {
    private val channel = Channel<ByteArray>(maximumFrames, onUndeliveredElement = { uncount(it.size) })
    private val frames = AtomicInteger()
    private val bytes = AtomicLong()

    /** Size of the frame that was taken and is not written yet; used by the writer only. */
    private var taken = NOTHING

    val unsent: UnsentFrames get() = UnsentFrames(frames.get(), bytes.get())

    /** Suspends while the queue is full. Returns false if it is closed or cancelled. */
    suspend fun send(frame: ByteArray): Boolean {
        count(frame)
        return try {
            channel.send(frame)
            true
        } catch (_: ClosedSendChannelException) {
            false
        } catch (_: CancellationException) {
            // The end of the link cancels the queue, which is no reason to cancel the sender.
            currentCoroutineContext().ensureActive()
            false
        }
    }

    /** Returns false if the queue is full or closed. While less than the limit waits, any frame has a place. */
    fun offer(frame: ByteArray): Boolean {
        if (bytes.get() >= maximumBytes) return false
        count(frame)
        val isQueued = channel.trySend(frame).isSuccess
        if (!isQueued) uncount(frame.size)
        return isQueued
    }

    fun tryTake(): ByteArray? = channel.tryReceive().getOrNull()?.also(::onTaken)

    /** Gives the next frame, which is to be noted by [onTaken], or the end of the queue. */
    val onTake: SelectClause1<ChannelResult<ByteArray>> get() = channel.onReceiveCatching

    fun onTaken(frame: ByteArray?) {
        if (frame != null) taken = frame.size
    }

    /** The frame that was taken last, if any, is written. */
    fun onWritten() {
        if (taken == NOTHING) return
        uncount(taken)
        taken = NOTHING
    }

    /** Takes no more frames; those that are queued are still written. */
    fun close() {
        channel.close()
    }

    /** Takes no more frames, drops those that are queued, and resumes the senders that wait. */
    fun cancel() {
        channel.cancel()
    }

    private fun count(frame: ByteArray) {
        frames.incrementAndGet()
        bytes.addAndGet(frame.size.toLong())
    }

    private fun uncount(size: Int) {
        frames.decrementAndGet()
        bytes.addAndGet(-size.toLong())
    }

    private companion object {
        const val NOTHING = -1
    }
}
