package org.zinniahoist.gateway.entry

import org.zinniahoist.gateway.upstream.HeapBudget
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the bytes of bodies that a process holds for its requests. Long bodies use up to [maximumBytes]; bodies of at
 * most [SMALL_BODY_BYTES] may use an additional quarter of that, so that long ones do not starve them. Thread-safe.
 *
 * @param heap budget that responses draw on as well.
 */
internal class BodyBudget(
    private val maximumBytes: Long,
    private val heap: HeapBudget = HeapBudget(),
) {
    private val held = AtomicLong()
    private val maximumWithHeadroom = maximumBytes + maximumBytes / 4

    /** Number of bytes that are currently reserved. */
    val heldBytes: Long get() = held.get()

    /** Opens the reservation of one request, which must be closed once the request has its response. */
    fun newReservation(): Reservation = Reservation()

    /** Bytes that are reserved for one request. */
    inner class Reservation : AutoCloseable {
        private var bytes = 0L
        private var isClosed = false

        /** Reserves so many more bytes that the request has [total]. Returns false if there is no room for them. */
        @Synchronized
        fun tryReserve(total: Long): Boolean {
            val more = total - bytes
            if (isClosed) return false
            if (more <= 0) return true
            val limit = if (total <= SMALL_BODY_BYTES) maximumWithHeadroom else maximumBytes
            val hasRoom = held.addAndGet(more) <= limit && heap.tryTake(more)
            if (hasRoom) bytes = total else held.addAndGet(-more)
            return hasRoom
        }

        /** Releases all bytes of the request. */
        @Synchronized
        override fun close() {
            if (isClosed) return
            isClosed = true
            held.addAndGet(-bytes)
            heap.give(bytes)
        }
    }

    companion object {
        /** Longest body that may use the headroom, in bytes. */
        const val SMALL_BODY_BYTES = 64L * 1_024
    }
}
