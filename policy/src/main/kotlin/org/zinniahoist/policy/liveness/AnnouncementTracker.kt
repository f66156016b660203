package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Trusts an open link and its heartbeats before the platform's list, which lags.
 *
 * @property silence time without a heartbeat after which an upstream gets no new work.
 * @property listLag time for which a list may still show the state before a restart.
 */
public class AnnouncementTracker(
    private val silence: Duration = 2_500.milliseconds,
    private val listLag: Duration = 1.minutes,
) : LeavingTracker {
    private val linked = HashMap<InstanceName, LinkedInstance>()
    private var leaving: Set<InstanceName> = emptySet()

    override fun onLinkOpen(instance: InstanceName, incarnation: Incarnation, now: Moment) {
        val known = linked[instance]
        if (known == null || incarnation.value > known.incarnation.value) {
            linked[instance] = LinkedInstance(incarnation, openedAt = now, lastHeartbeat = now)
        } else if (incarnation == known.incarnation) {
            known.lastHeartbeat = now
        }
    }

    /** Keeps what is known of the incarnation, as one that drains still drains after it connects again. */
    override fun onLinkClosed(instance: InstanceName, now: Moment) {
        linked[instance]?.lastHeartbeat = null
    }

    override fun onHeartbeat(instance: InstanceName, draining: Boolean, now: Moment) {
        val known = linked[instance] ?: return
        known.lastHeartbeat = now
        // An incarnation that drains never takes new work again.
        known.draining = known.draining || draining
    }

    override fun onPlatformList(live: Set<InstanceName>, leaving: Set<InstanceName>, now: Moment) {
        this.leaving = leaving
        linked.entries.removeIf { (name, known) ->
            name !in live && name !in leaving && known.lastHeartbeat == null && now - known.openedAt > listLag
        }
    }

    override fun acceptsWork(instance: InstanceName, now: Moment): Boolean {
        val known = linked[instance] ?: return false
        val heard = known.lastHeartbeat ?: return false
        val leaves = instance in leaving && now - known.openedAt > listLag
        return !known.draining && !leaves && now - heard < silence
    }

    private class LinkedInstance(
        val incarnation: Incarnation,
        val openedAt: Moment,
        var lastHeartbeat: Moment?,
    ) {
        var draining = false
    }
}
