package org.zinniahoist.daemon.sidecar

import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration.Companion.seconds

/** Whether the upstream takes requests. */
internal class UpstreamState(val isEngine: Boolean) {
    private var changedAt: Moment? = null

    /** Whether the upstream answers. A sidecar that just started assumes it does and learns from the first failure. */
    @Volatile
    var isReachable: Boolean = true

    /** Whether no request is given to the upstream until it is known whether it crashed. */
    @Volatile
    var isSuspended: Boolean = false

    /** Version that the engine reports, or null if it is unknown. Never used for labels. */
    @Volatile
    var version: WeightVersion? = null
        private set

    /** Whether the upstream may get requests: an engine only with known weights. */
    val isAvailable: Boolean get() = isReachable && (!isEngine || version != null)

    /** Takes over the version in a load report, which can be older than the last order. */
    @Synchronized
    fun onReport(reported: WeightVersion?, now: Moment) {
        val since = changedAt
        if (since != null && now - since < REPORT_LAG) return
        changedAt = null
        version = reported
    }

    /** Takes over the version that the engine names in its answer to an order. */
    @Synchronized
    fun onOrderAnswered(present: WeightVersion?, now: Moment) {
        version = present
        changedAt = now
    }

    /** The engine started again: its weights are unknown until it reports them. */
    @Synchronized
    fun onRestart() {
        version = null
        changedAt = null
    }

    private companion object {
        /** Load reports of engines lag, so a report right after an order can still name the version before it. */
        val REPORT_LAG = 2.seconds
    }
}
