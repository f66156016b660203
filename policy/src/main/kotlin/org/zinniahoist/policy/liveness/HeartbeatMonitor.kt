package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of [HeartbeatMonitor].
 *
 * @property interval interval at which heartbeats are sent.
 * @property silence time without a received frame after which the link is closed.
 */
public data class HeartbeatSettings(
    public val interval: Duration = 500.milliseconds,
    public val silence: Duration = 2_500.milliseconds,
)

/**
 * Closes a link on which no frame was received for [HeartbeatSettings.silence].
 *
 * A late check indicates that this process was paused. Frames of the peer may then be unread, so the monitor waits for
 * one more interval before it closes the link.
 */
public class HeartbeatMonitor(
    opened: Moment,
    private val settings: HeartbeatSettings = HeartbeatSettings(),
) : LinkMonitor {
    private var lastReceived = opened
    private var lastSent: Moment? = null
    private var nextCheck = opened + settings.interval
    private var earliestClose = opened

    override fun onFrameReceived(now: Moment) {
        lastReceived = maxOf(lastReceived, now)
    }

    override fun check(now: Moment): LinkAction {
        if (now - nextCheck > settings.interval) earliestClose = now + settings.interval
        val silenceEnd = lastReceived + settings.silence
        val close = now >= silenceEnd && now >= earliestClose
        val heartbeatDue = lastSent?.let { now - it >= settings.interval } ?: true
        val heartbeatAt = if (heartbeatDue) now else lastSent ?: now
        lastSent = heartbeatAt
        val closeDue = maxOf(silenceEnd, earliestClose)
        nextCheck =
            if (closeDue > now) minOf(heartbeatAt + settings.interval, closeDue) else heartbeatAt + settings.interval
        return LinkAction(heartbeatDue && !close, close, nextCheck)
    }
}
