package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks up to which moment this process has handled its input, so that its own delays do not count as stalls of
 * upstreams.
 *
 * A reading ends once all input that arrived before its start has been handled. The time between the starts of two
 * consecutive readings counts as silence of the upstreams only up to [maximumCountedSilence]: after a longer delay,
 * requests that this process sent late have not yet had time to be answered.
 */
public class InputProgressMonitor(private val maximumCountedSilence: Duration = DispatchOptions().stallTimeout / 2) {
    private var startedAt: Moment? = null

    /** All input that arrived before this moment has been handled; null if that is unknown. */
    public var readUntil: Moment? = null
        private set

    /** Starts a reading at [now]; returns false if one is in progress or the latest one started less than 40 ms ago. */
    public fun begin(now: Moment): Boolean {
        if (startedAt != null || readUntil?.let { now - it < MINIMUM_INTERVAL } == true) return false
        startedAt = now
        return true
    }

    /** Ends the reading that started at [begin]. Returns the delay of this process that does not count as silence. */
    public fun end(begin: Moment): Duration {
        if (begin != startedAt) return Duration.ZERO
        val elapsed = readUntil?.let { begin - it } ?: Duration.ZERO
        startedAt = null
        readUntil = begin
        return (elapsed - maximumCountedSilence).coerceAtLeast(Duration.ZERO)
    }

    /** Marks all input up to [now] as handled, because none is expected, and cancels the reading in progress. */
    public fun onIdle(now: Moment) {
        startedAt = null
        readUntil = now
    }

    private companion object {
        /** Shorter than the tick interval, but limits the readings of the additional tick at each end of a run. */
        val MINIMUM_INTERVAL = 40.milliseconds
    }
}
