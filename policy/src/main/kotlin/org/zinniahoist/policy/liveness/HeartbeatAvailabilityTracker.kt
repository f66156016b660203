package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Tracks availability by open links and their heartbeats, which take precedence over the lagging list of the platform.
 *
 * @property silence time without a heartbeat after which an upstream gets no new work.
 * @property listLag time for which the list may still show the state from before a restart.
 */
public class HeartbeatAvailabilityTracker(
    private val silence: Duration = 2_500.milliseconds,
    private val listLag: Duration = 1.minutes,
) : AvailabilityTracker {
    private val linkedInstances = HashMap<InstanceName, LinkedInstance>()
    private var leaving: Set<InstanceName> = emptySet()

    override fun onLinkOpen(instance: InstanceName, incarnation: Incarnation, now: Moment) {
        val known = linkedInstances[instance]
        if (incarnation == known?.incarnation) {
            known.lastHeartbeat = now
            return
        }
        val replaced = known?.let { it.replaced + it.incarnation }.orEmpty()
        if (incarnation in replaced) return
        linkedInstances[instance] =
            LinkedInstance(incarnation, openedAt = now, lastHeartbeat = now, replaced.takeLast(RETAINED_INCARNATIONS))
    }

    /** Keeps the state of the incarnation, because a draining incarnation is still draining after it reconnects. */
    override fun onLinkClosed(instance: InstanceName, now: Moment) {
        linkedInstances[instance]?.lastHeartbeat = null
    }

    override fun onHeartbeat(instance: InstanceName, draining: Boolean, now: Moment) {
        val known = linkedInstances[instance] ?: return
        known.lastHeartbeat = now
        // Draining is final for an incarnation: it never accepts new work again.
        known.draining = known.draining || draining
    }

    override fun onPlatformList(live: Set<InstanceName>, leaving: Set<InstanceName>, now: Moment) {
        this.leaving = leaving
        linkedInstances.entries.removeIf { (name, known) ->
            name !in live && name !in leaving && known.lastHeartbeat == null && now - known.openedAt > listLag
        }
    }

    override fun acceptsWork(instance: InstanceName, now: Moment): Boolean {
        val known = linkedInstances[instance] ?: return false
        val lastHeartbeat = known.lastHeartbeat ?: return false
        val isLeaving = instance in leaving && now - known.openedAt > listLag
        return !known.draining && !isLeaving && now - lastHeartbeat < silence
    }

    /** @property replaced latest earlier incarnations. Numbers of incarnations have no order. */
    private class LinkedInstance(
        val incarnation: Incarnation,
        val openedAt: Moment,
        var lastHeartbeat: Moment?,
        val replaced: List<Incarnation>,
    ) {
        var draining = false
    }

    private companion object {
        /** Number of replaced incarnations that are remembered; only the links of the latest ones can be delayed. */
        const val RETAINED_INCARNATIONS = 8
    }
}
