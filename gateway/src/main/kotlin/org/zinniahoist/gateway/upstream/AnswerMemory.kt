package org.zinniahoist.gateway.upstream

import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

/** The process holds so many bytes of answers that this one has no room; nothing of it is used. */
internal class AnswerMemoryException(maximum: Long) : IOException("no room for the answer: maximum=$maximum")

/**
 * Bounds the bytes of all answers that a process holds at once until their clients have them. Large answers take up to
 * [maximumBytes]; the first [ALWAYS_HELD_BYTES] of each request may take half as much beyond that.
 */
internal class AnswerMemory(private val maximumBytes: Long) {
    private val held = AtomicLong()
    private val maximumWithSmall = maximumBytes + maximumBytes / 2

    /** Bytes of answers that are held now. */
    val heldBytes: Long get() = held.get()

    /** Returns the share of one client request, which must be closed once its client has the answer. */
    fun share(): Share = Share()

    /** Bytes that are held for one request of a client. May be used by several threads. */
    inner class Share : AutoCloseable {
        private var bytes = 0L
        private var isClosed = false

        /**
         * Notes [count] more bytes. The first [ALWAYS_HELD_BYTES] of a request have room that large answers don't take.
         *
         * @throws AnswerMemoryException if they have no room, or if nobody waits for the answer any more.
         */
        @Synchronized
        fun add(count: Int) {
            val total = held.addAndGet(count.toLong())
            val limit = if (bytes + count > ALWAYS_HELD_BYTES) maximumBytes else maximumWithSmall
            val isTooMuch = total > limit
            if (isClosed || isTooMuch) {
                held.addAndGet(-count.toLong())
                throw AnswerMemoryException(limit)
            }
            bytes += count
        }

        /** Notes that [count] bytes are not held any more. */
        @Synchronized
        fun remove(count: Long) {
            if (isClosed) return
            bytes -= count
            held.addAndGet(-count)
        }

        /** Frees all that is held for the request. */
        @Synchronized
        override fun close() {
            if (isClosed) return
            isClosed = true
            held.addAndGet(-bytes)
        }
    }

    companion object {
        /** Lets small answers pass while large ones take all the room. */
        const val ALWAYS_HELD_BYTES = 64L * 1_024
    }
}
