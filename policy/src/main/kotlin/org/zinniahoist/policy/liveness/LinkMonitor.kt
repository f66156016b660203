package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment

/** Watches one link. */
public interface LinkMonitor {
    /** Records that a whole frame was received. */
    public fun onFrameReceived(now: Moment)

    /** Returns what to do now and asks to be called again at [LinkAction.nextCheck]. */
    public fun check(now: Moment): LinkAction
}

/**
 * What to do with a link.
 *
 * @property sendHeartbeat whether a heartbeat is due.
 * @property close whether the link is silent and is to be closed.
 */
public data class LinkAction(
    public val sendHeartbeat: Boolean,
    public val close: Boolean,
    public val nextCheck: Moment,
)
