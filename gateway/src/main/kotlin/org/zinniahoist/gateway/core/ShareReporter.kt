package org.zinniahoist.gateway.core

import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WorkspaceName
import kotlin.time.Duration.Companion.seconds

/** Reports the expected tokens of the running items of each workspace as a gauge. */
internal class ShareReporter(metrics: GatewayMetrics) {
    /** Written on the engine thread and read by the metrics endpoint. */
    @Volatile
    private var latest: Map<String, Long> = emptyMap()
    private var observedAt: Moment? = null

    init {
        metrics.gauges(
            "zinniahoist_workspace_running_tokens",
            "Expected tokens of the running items, by workspace.",
            "workspace",
        ) { latest }
    }

    /** Reads the tokens of each workspace at [now], at most once a second. */
    fun observe(now: Moment, read: () -> Map<WorkspaceName?, Long>) {
        if (observedAt?.let { now - it < INTERVAL } == true) return
        observedAt = now
        val (named, others) = read().entries.partition { it.key != null }
        val sorted = named.sortedBy { it.key?.value }
        val shown = sorted.take(MAXIMUM_LABELS).associate { it.key?.value.orEmpty() to it.value }
        val rest = (sorted.drop(MAXIMUM_LABELS) + others).sumOf { it.value }
        latest = if (rest > 0) shown + (OTHER to rest + (shown[OTHER] ?: 0)) else shown
    }

    /** Resets the gauge, because this replica is no longer the leader. */
    fun clear() {
        latest = emptyMap()
    }

    private companion object {
        val INTERVAL = 1.seconds

        /** Bounds the label cardinality; further workspaces count as [OTHER]. */
        const val MAXIMUM_LABELS = 100
        const val OTHER = "other"
    }
}
