package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment

/** Monitors the liveness of one link. */
public interface LinkMonitor {
    /** Records that a complete frame was received. */
    public fun onFrameReceived(now: Moment)

    /** Returns the action that is due. The calling code must check again at [LinkAction.nextCheck]. */
    public fun check(now: Moment): LinkAction
}

/**
 * Action that is due on a link.
 *
 * @property sendHeartbeat whether to send a heartbeat.
 * @property close whether to close the link because the peer is silent.
 * @property nextCheck time of the next check.
 */
public data class LinkAction(
    public val sendHeartbeat: Boolean,
    public val close: Boolean,
    public val nextCheck: Moment,
)
