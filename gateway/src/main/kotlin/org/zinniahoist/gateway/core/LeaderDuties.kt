package org.zinniahoist.gateway.core

import org.zinniahoist.model.Moment
import org.zinniahoist.settings.DutySettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Performs the duties of the settings while this replica is the active leader. Runs on the engine thread. */
internal class LeaderDuties(
    private val calls: DutyCalls,
    private val usage: UsageDuty?,
    private val counts: UpstreamCountDuty? = null,
) {
    fun activate(authority: OrderAuthority, term: Long) {
        calls.activate(authority)
        usage?.activate(term)
        counts?.activate()
    }

    fun deactivate(): Unit = calls.deactivate()

    /** Does the due work. [isActive] says whether this replica is the active leader. */
    fun tick(isActive: Boolean, now: Moment) {
        usage?.observeClock()
        if (!isActive) return
        val grant = calls.grant(now) ?: return
        usage?.tick(grant)
        counts?.tick(grant)
    }

    companion object {
        /** Returns the shortest time between two calls of one duty: all together make half of the calls allowed. */
        fun callInterval(settings: DutySettings): Duration =
            1.seconds * (DUTIES / ALLOWED_SHARE / settings.callsPerSecond)

        private const val DUTIES = 2
        private const val ALLOWED_SHARE = 0.5
    }
}
