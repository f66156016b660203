package org.zinniahoist.daemon.sidecar

import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.Moment

/** Keeps [UpstreamState] up to date while no attempt tells how the upstream is. */
internal class UpstreamMonitor(
    private val state: UpstreamState,
    private val health: HealthMonitor,
    private val engine: EngineControl,
    private val orders: OrderExecutor,
    private val events: EventRecorder,
    private val clock: () -> Moment,
) {
    private var failures = 0

    /** Asks the upstream how it is. */
    suspend fun refresh() {
        if (!state.isReachable) {
            if (!health.isAlive()) return
            onRestart()
            events.record("upstream-returned")
            state.isReachable = true
            failures = 0
        }
        if (state.isEngine) refreshVersion()
    }

    /** The upstream may have started again since it was last reached. */
    fun onRestart() {
        state.onRestart()
        orders.onRestart()
    }

    private suspend fun refreshVersion() {
        val askedAt = clock()
        val report = engine.readVersion()
        if (report != null) {
            failures = 0
            state.onReport(report.version, askedAt)
        } else {
            failures += 1
            if (failures >= FAILURES_UNTIL_UNREACHABLE && !health.isAlive()) state.isReachable = false
        }
    }

    private companion object {
        /** A single lost report can be the fault of its connection. */
        const val FAILURES_UNTIL_UNREACHABLE = 2
    }
}
