package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment
import kotlin.time.Duration.Companion.milliseconds

/** Baseline: heartbeats are sent, and only the transport notices that a link broke. */
public class UnmonitoredLink : LinkMonitor {
    private var lastSent: Moment? = null

    override fun onFrameReceived(now: Moment): Unit = Unit

    override fun check(now: Moment): LinkAction {
        val due = lastSent?.let { now - it >= HEARTBEAT_INTERVAL } ?: true
        if (due) lastSent = now
        return LinkAction(due, close = false, (lastSent ?: now) + HEARTBEAT_INTERVAL)
    }

    private companion object {
        val HEARTBEAT_INTERVAL = 500.milliseconds
    }
}
