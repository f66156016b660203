package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment

/** Decides which upstreams may get new work, from links and the platform's list. */
public interface LeavingTracker {
    /** Records that a link to [instance] is open. */
    public fun onLinkOpen(instance: InstanceName, incarnation: Incarnation, now: Moment)

    /** Records that the last link to [instance] closed. */
    public fun onLinkClosed(instance: InstanceName, now: Moment)

    /** Records a heartbeat and its draining flag. */
    public fun onHeartbeat(instance: InstanceName, draining: Boolean, now: Moment)

    /** Records the platform's list, which can lag by a minute. */
    public fun onPlatformList(live: Set<InstanceName>, leaving: Set<InstanceName>, now: Moment)

    /** Returns whether [instance] may get new work. */
    public fun acceptsWork(instance: InstanceName, now: Moment): Boolean
}

/** Baseline: the platform's list alone decides. */
public class PlatformListTracker : LeavingTracker {
    private var live: Set<InstanceName> = emptySet()

    override fun onLinkOpen(instance: InstanceName, incarnation: Incarnation, now: Moment): Unit = Unit

    override fun onLinkClosed(instance: InstanceName, now: Moment): Unit = Unit

    override fun onHeartbeat(instance: InstanceName, draining: Boolean, now: Moment): Unit = Unit

    override fun onPlatformList(live: Set<InstanceName>, leaving: Set<InstanceName>, now: Moment) {
        this.live = live - leaving
    }

    override fun acceptsWork(instance: InstanceName, now: Moment): Boolean = instance in live
}
