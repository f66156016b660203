package org.zinniahoist.wire

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import java.util.concurrent.atomic.AtomicLong

/**
 * Flow-control window that limits the bytes sent to the peer but not yet acknowledged.
 *
 * Ktor's socket writer busy-loops while the kernel send buffer is full. The window keeps that buffer from filling, so
 * that sending to a slow or frozen peer does not consume all processor time.
 */
internal class SendWindow(private val capacityBytes: Long) {
    private val sent = AtomicLong()
    private val acknowledged = MutableStateFlow(0L)

    /** Reserves [size] bytes if the window has room for them. Returns whether it did. */
    fun tryReserve(size: Int): Boolean {
        if (sent.get() + size - acknowledged.value > capacityBytes) return false
        sent.addAndGet(size.toLong())
        return true
    }

    /** Suspends until the window has room for [size] bytes and reserves them. Not safe for concurrent callers. */
    suspend fun reserve(size: Int) {
        acknowledged.first { sent.get() + size - it <= capacityBytes }
        sent.addAndGet(size.toLong())
    }

    /** Releases [size] bytes that the peer acknowledged. Returns false if fewer bytes were unacknowledged. */
    fun release(size: Int): Boolean {
        if (acknowledged.value + size > sent.get()) return false
        acknowledged.value += size
        return true
    }
}
