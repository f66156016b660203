package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Knows until when this process has handled all that arrived, so that its own delay is no silence of others.
 *
 * A reading ends once everything that arrived before its begin has been handled. The time between the begins of two
 * readings counts as silence up to [longestCounted] only: after a longer delay what this process itself did not send
 * in time needs some time to be answered.
 */
public class ReadingMonitor(private val longestCounted: Duration = DispatchOptions().stallLimit / 2) {
    private var begunAt: Moment? = null

    /** All that arrived before this moment has been handled; null if that is not known. */
    public var readUntil: Moment? = null
        private set

    /** Begins a reading at [now]; returns false if one is in progress or the latest is only a short while ago. */
    public fun begin(now: Moment): Boolean {
        if (begunAt != null || readUntil?.let { now - it < INTERVAL } == true) return false
        begunAt = now
        return true
    }

    /** The reading that began at [begin] has ended. Returns the delay that does not count as silence. */
    public fun end(begin: Moment): Duration {
        if (begin != begunAt) return Duration.ZERO
        val elapsed = readUntil?.let { begin - it } ?: Duration.ZERO
        begunAt = null
        readUntil = begin
        return (elapsed - longestCounted).coerceAtLeast(Duration.ZERO)
    }

    /** Nothing is expected to arrive at [now]. A reading in progress is of no use. */
    public fun onIdle(now: Moment) {
        begunAt = null
        readUntil = now
    }

    private companion object {
        /** Shorter than the interval of ticks; a tick also follows each end of a run. */
        val INTERVAL = 40.milliseconds
    }
}
