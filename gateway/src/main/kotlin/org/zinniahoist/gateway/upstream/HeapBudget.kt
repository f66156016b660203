package org.zinniahoist.gateway.upstream

import java.util.concurrent.atomic.AtomicLong

/** Limits the bytes that all requests and responses of a process hold together. Thread-safe. */
internal class HeapBudget(private val maximumBytes: Long = Long.MAX_VALUE) {
    private val taken = AtomicLong()

    /** Takes [bytes] of the budget, or returns false if that much is not left. */
    fun tryTake(bytes: Long): Boolean {
        if (taken.addAndGet(bytes) <= maximumBytes) return true
        give(bytes)
        return false
    }

    /** Gives back [bytes] that were taken. */
    fun give(bytes: Long) {
        taken.addAndGet(-bytes)
    }
}
