package org.zinniahoist.wire

import org.zinniahoist.model.Moment
import kotlin.time.Duration

/**
 * Decides whether a peer has been silent for [limit]. One coroutine checks while another reads.
 *
 * A process that was held up, by a pause or for want of a processor, checks before it has read what arrived meanwhile.
 * So the time between two checks counts up to half of the limit only, and the reader has the other half to catch up.
 * A process that is late again and again is late in reading as well: a check that comes later than [onTime] after the
 * one before finds a peer silent only after [LATE_LIMITS] limits.
 */
internal class PeerSilence(
    private val limit: Duration,
    start: Moment,
    private val onTime: Duration = limit / 2,
) {
    private var lastCheck = start
    private var silentFor = Duration.ZERO
    private var countedUntil = start
    private var handling = false

    /** A frame or a part of one was read at [now]. */
    @Synchronized
    fun onProgress(now: Moment) {
        silentFor = Duration.ZERO
        countedUntil = now
    }

    /** The handler works on a message from now on: a peer is not silent while nothing is read from it. */
    @Synchronized
    fun onHandlingStart() {
        handling = true
    }

    /** The handler was done at [now], and reading goes on. */
    @Synchronized
    fun onHandlingEnd(now: Moment) {
        handling = false
        onProgress(now)
    }

    /** Counts the time until [now]. Returns whether nothing was read for the limit. */
    @Synchronized
    fun check(now: Moment): Boolean {
        val isLate = now - lastCheck > onTime
        lastCheck = now
        if (handling) return false
        // Bytes can be read after the caller has taken the time.
        silentFor += (now - countedUntil).coerceIn(Duration.ZERO, limit / 2)
        countedUntil = maxOf(now, countedUntil)
        return silentFor >= if (isLate) limit * LATE_LIMITS else limit
    }

    private companion object {
        /** A peer that is gone is found by a process that is always late, too, after four of its checks at least. */
        const val LATE_LIMITS = 2
    }
}
