package org.zinniahoist.gateway.link

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether a replica that was called has sent nothing for [limit]. Used by one caller, which checks every
 * [CHECK_INTERVAL].
 *
 * A process that was held up checks before it has read what arrived meanwhile. So the time between two checks counts
 * up to twice that interval only.
 *
 * @param received parts of frames that were received on the link before [start].
 */
internal class AnswerSilence(
    private val limit: Duration,
    start: Moment,
    private var received: Long,
) {
    private var silentFor = Duration.ZERO
    private var checkedAt = start

    /** Counts the time until [now], up to which [receivedNow] parts of frames were received on the link. */
    fun check(now: Moment, receivedNow: Long): Boolean {
        silentFor += (now - checkedAt).coerceIn(Duration.ZERO, CHECK_INTERVAL * 2)
        if (receivedNow != received) silentFor = Duration.ZERO
        received = receivedNow
        checkedAt = now
        return silentFor >= limit
    }

    companion object {
        /** A fraction of the interval of heartbeats. */
        val CHECK_INTERVAL = 100.milliseconds
    }
}
