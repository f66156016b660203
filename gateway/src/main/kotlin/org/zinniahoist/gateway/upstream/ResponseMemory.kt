package org.zinniahoist.gateway.upstream

import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

/** The response memory of the process is exhausted. The response is discarded. */
internal class AnswerMemoryException(maximum: Long) : IOException("response memory exhausted: maximum=$maximum")

/**
 * Limits the memory for all responses that a process buffers until they are delivered to their clients. Large responses
 * use up to [maximumBytes]; the first [SMALL_ANSWER_BYTES] of each request may use an additional half of that.
 *
 * @param heap budget that the bodies of requests draw on as well.
 */
internal class ResponseMemory(
    private val maximumBytes: Long,
    private val heap: HeapBudget = HeapBudget(),
) {
    private val held = AtomicLong()
    private val maximumWithHeadroom = maximumBytes + maximumBytes / 2

    /** Number of response bytes that are currently buffered. */
    val heldBytes: Long get() = held.get()

    /** Opens the reservation of one client request, which must be closed once the response is delivered. */
    fun newReservation(): Reservation = Reservation()

    /** Accounts for the bytes that are buffered for one client request. Thread-safe. */
    inner class Reservation : AutoCloseable {
        private var bytes = 0L
        private var isClosed = false

        /**
         * Reserves [count] more bytes. The first [SMALL_ANSWER_BYTES] of a request have headroom that large responses
         * can't use.
         *
         * @throws AnswerMemoryException if the memory is exhausted or this reservation is closed.
         */
        @Synchronized
        fun reserve(count: Int) {
            val total = held.addAndGet(count.toLong())
            val limit = if (bytes + count > SMALL_ANSWER_BYTES) maximumBytes else maximumWithHeadroom
            val hasRoom = !isClosed && total <= limit && heap.tryTake(COPIES * count)
            if (!hasRoom) {
                held.addAndGet(-count.toLong())
                throw AnswerMemoryException(limit)
            }
            bytes += count
        }

        /** Releases [count] bytes. Does nothing after [close]. */
        @Synchronized
        fun release(count: Long) {
            if (isClosed) return
            bytes -= count
            held.addAndGet(-count)
            heap.give(COPIES * count)
        }

        /** Releases all bytes of the request. */
        @Synchronized
        override fun close() {
            if (isClosed) return
            isClosed = true
            held.addAndGet(-bytes)
            heap.give(COPIES * bytes)
        }
    }

    companion object {
        /** Bytes of each request that may use the headroom, so that large responses don't starve small ones. */
        const val SMALL_ANSWER_BYTES = 64L * 1_024

        /** Copies of a response that are in memory while its chunks are concatenated. */
        private const val COPIES = 2L
    }
}
