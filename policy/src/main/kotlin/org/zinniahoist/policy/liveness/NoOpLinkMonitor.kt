package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment
import kotlin.time.Duration.Companion.milliseconds

/** Baseline monitor: sends heartbeats, and relies on the transport to detect a broken link. */
public class NoOpLinkMonitor : LinkMonitor {
    private var lastSent: Moment? = null

    override fun onFrameReceived(now: Moment): Unit = Unit

    override fun check(now: Moment): LinkAction {
        val heartbeatDue = lastSent?.let { now - it >= HEARTBEAT_INTERVAL } ?: true
        if (heartbeatDue) lastSent = now
        return LinkAction(heartbeatDue, close = false, (lastSent ?: now) + HEARTBEAT_INTERVAL)
    }

    private companion object {
        val HEARTBEAT_INTERVAL = 500.milliseconds
    }
}
