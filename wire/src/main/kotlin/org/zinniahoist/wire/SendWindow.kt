package org.zinniahoist.wire

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds the bytes that are on their way to the peer.
 *
 * The writer of Ktor's sockets polls without a pause while the socket's buffer is full, so the buffer must not fill: a
 * process that sends to a slow or frozen peer would spend all its processor time.
 */
internal class SendWindow(private val bytes: Long) {
    private val sent = AtomicLong()
    private val confirmed = MutableStateFlow(0L)

    /** Takes [size] bytes of the window if they are free. */
    fun tryReserve(size: Int): Boolean {
        if (sent.get() + size - confirmed.value > bytes) return false
        sent.addAndGet(size.toLong())
        return true
    }

    /** Suspends until [size] bytes of the window are free and takes them. Called by one coroutine at a time. */
    suspend fun reserve(size: Int) {
        confirmed.first { sent.get() + size - it <= bytes }
        sent.addAndGet(size.toLong())
    }

    /** The peer has read [size] bytes more. Returns false if that many were not on their way. */
    fun release(size: Int): Boolean {
        if (confirmed.value + size > sent.get()) return false
        confirmed.value += size
        return true
    }
}
