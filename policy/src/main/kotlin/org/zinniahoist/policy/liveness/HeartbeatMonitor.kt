package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Settings of [HeartbeatMonitor]. */
public data class HeartbeatSettings(
    public val interval: Duration = 500.milliseconds,
    public val silence: Duration = 2_500.milliseconds,
)

/**
 * Closes a link on which no frame was received for [HeartbeatSettings.silence].
 *
 * A check that comes late shows that this process was paused. The peer's frames may then wait unread, so the link gets
 * one more interval.
 */
public class HeartbeatMonitor(
    opened: Moment,
    private val settings: HeartbeatSettings = HeartbeatSettings(),
) : LinkMonitor {
    private var lastReceived = opened
    private var lastSent: Moment? = null
    private var expectedCheck = opened + settings.interval
    private var notBefore = opened

    override fun onFrameReceived(now: Moment) {
        lastReceived = maxOf(lastReceived, now)
    }

    override fun check(now: Moment): LinkAction {
        if (now - expectedCheck > settings.interval) notBefore = now + settings.interval
        val silent = lastReceived + settings.silence
        val close = now >= silent && now >= notBefore
        val due = lastSent?.let { now - it >= settings.interval } ?: true
        val sent = if (due) now else lastSent ?: now
        lastSent = sent
        val closing = maxOf(silent, notBefore)
        expectedCheck = if (closing > now) minOf(sent + settings.interval, closing) else sent + settings.interval
        return LinkAction(due && !close, close, expectedCheck)
    }
}
