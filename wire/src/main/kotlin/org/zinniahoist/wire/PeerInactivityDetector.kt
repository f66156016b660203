package org.zinniahoist.wire

import org.zinniahoist.model.Moment
import kotlin.time.Duration

/**
 * Detects a peer from which nothing was read for [limit]. One coroutine calls [check] while another one reads.
 *
 * After a stall of this process (a GC pause or processor starvation), a check may run before the bytes that arrived
 * during the stall are read. The time between two checks is therefore capped at half of the limit, which leaves the
 * reader the other half to catch up. A process that stalls repeatedly also reads late: a check that runs more than
 * [lateCheckThreshold] after the previous one applies [LATE_CHECK_LIMIT_FACTOR] times the limit.
 *
 * @property lateCheckThreshold longest time between two checks at which the later one does not count as late.
 */
internal class PeerInactivityDetector(
    private val limit: Duration,
    start: Moment,
    private val lateCheckThreshold: Duration = limit / 2,
) {
    private var lastCheck = start
    private var inactiveTime = Duration.ZERO
    private var countedUntil = start
    private var handling = false

    /** Records that a frame or a part of one was read at [now]. */
    @Synchronized
    fun onProgress(now: Moment) {
        inactiveTime = Duration.ZERO
        countedUntil = now
    }

    /** Suspends detection while the handler processes a message, as the link reads nothing in the meantime. */
    @Synchronized
    fun onHandlingStart() {
        handling = true
    }

    /** Resumes detection at [now], when the handler has returned. */
    @Synchronized
    fun onHandlingEnd(now: Moment) {
        handling = false
        onProgress(now)
    }

    /** Adds the time until [now] to the inactive time. Returns whether it has reached the limit. */
    @Synchronized
    fun check(now: Moment): Boolean {
        val isLate = now - lastCheck > lateCheckThreshold
        lastCheck = now
        if (handling) return false
        // The reader may record progress after the caller has read the clock, which makes the difference negative.
        inactiveTime += (now - countedUntil).coerceIn(Duration.ZERO, limit / 2)
        countedUntil = maxOf(now, countedUntil)
        return inactiveTime >= if (isLate) limit * LATE_CHECK_LIMIT_FACTOR else limit
    }

    private companion object {
        /** Lets a process whose checks are all late still detect a failed peer, after at least four checks. */
        const val LATE_CHECK_LIMIT_FACTOR = 2
    }
}
