package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Counts the chunks that may be sent before the entry grants more. */
internal class CreditWindow(initial: Int) {
    private val available = MutableStateFlow(initial.coerceIn(0, MAXIMUM))

    /** Whether a chunk can be sent without waiting. */
    val hasCredit: Boolean get() = available.value > 0

    /** Suspends until a chunk may be sent. Returns false if the window was closed. For one caller at a time. */
    suspend fun take(): Boolean {
        if (available.first { it != 0 } == CLOSED) return false
        available.update { if (it > 0) it - 1 else it }
        return available.value != CLOSED
    }

    fun grant(frames: Int) {
        if (frames <= 0) return
        available.update { if (it == CLOSED) it else (it + frames.coerceAtMost(MAXIMUM)).coerceAtMost(MAXIMUM) }
    }

    /** Ends the wait for credit. */
    fun close() {
        available.value = CLOSED
    }

    private companion object {
        const val CLOSED = -1

        /** Half of the range, so that a sum of two does not overflow. */
        const val MAXIMUM = Int.MAX_VALUE / 2
    }
}
