package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment

/** Decides which upstreams accept new work, based on their links and on the instance list of the platform. */
public interface AvailabilityTracker {
    /** Records that a link to [instance] was opened. */
    public fun onLinkOpen(instance: InstanceName, incarnation: Incarnation, now: Moment)

    /** Records that the last link to [instance] was closed. */
    public fun onLinkClosed(instance: InstanceName, now: Moment)

    /** Records a heartbeat of [instance] and its [draining] flag. */
    public fun onHeartbeat(instance: InstanceName, draining: Boolean, now: Moment)

    /** Records the instance list of the platform, which can lag by a minute: the [live] and the [leaving] instances. */
    public fun onPlatformList(live: Set<InstanceName>, leaving: Set<InstanceName>, now: Moment)

    /** Returns whether [instance] accepts new work. */
    public fun acceptsWork(instance: InstanceName, now: Moment): Boolean
}

/** Baseline tracker: uses only the instance list of the platform. */
public class PlatformListAvailabilityTracker : AvailabilityTracker {
    private var live: Set<InstanceName> = emptySet()

    override fun onLinkOpen(instance: InstanceName, incarnation: Incarnation, now: Moment): Unit = Unit

    override fun onLinkClosed(instance: InstanceName, now: Moment): Unit = Unit

    override fun onHeartbeat(instance: InstanceName, draining: Boolean, now: Moment): Unit = Unit

    override fun onPlatformList(live: Set<InstanceName>, leaving: Set<InstanceName>, now: Moment) {
        this.live = live - leaving
    }

    override fun acceptsWork(instance: InstanceName, now: Moment): Boolean = instance in live
}
