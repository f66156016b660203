package org.zinniahoist.gateway.link

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Detects that a called replica has sent nothing for [limit]. Used by one caller, which must check every
 * [CHECK_INTERVAL].
 *
 * After a stall of this process, the check runs before the data that arrived meanwhile has been read. Therefore the
 * time between two checks counts for at most twice the interval.
 *
 * @param received number of frame chunks that were received on the link before [start].
 */
internal class SilenceDetector(
    private val limit: Duration,
    start: Moment,
    private var received: Long,
) {
    private var silence = Duration.ZERO
    private var checkedAt = start

    /** Returns whether the replica is silent at [now], with [receivedNow] frame chunks received on the link so far. */
    fun check(now: Moment, receivedNow: Long): Boolean {
        silence += (now - checkedAt).coerceIn(Duration.ZERO, CHECK_INTERVAL * 2)
        if (receivedNow != received) silence = Duration.ZERO
        received = receivedNow
        checkedAt = now
        return silence >= limit
    }

    companion object {
        /** A fraction of the heartbeat interval. */
        val CHECK_INTERVAL = 100.milliseconds
    }
}
