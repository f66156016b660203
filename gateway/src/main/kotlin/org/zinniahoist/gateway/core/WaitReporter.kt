package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.WaitReason
import org.zinniahoist.policy.dispatch.WaitReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Reports the wait of the oldest waiting item as a gauge, and logs the reason for long waits. */
internal class WaitReporter(
    private val metrics: GatewayMetrics,
    private val write: (String) -> Unit = { logger.info { it } },
) {
    /** Written on the engine thread and read by the metrics endpoint. */
    @Volatile
    private var oldest: Duration = Duration.ZERO
    private var loggedAt: Moment? = null

    init {
        metrics.gauge(
            "zinniahoist_oldest_waiting_item_seconds",
            "Time since the oldest waiting item was handed in or had its last event, in seconds.",
        ) { oldest.toDouble(DurationUnit.SECONDS) }
    }

    /**
     * Records the [longest] wait of [waiting] items at [now], zero if none waits. Calls [report] only to write a line,
     * because it scans all upstreams.
     */
    fun observe(
        longest: Duration,
        waiting: Int,
        now: Moment,
        report: () -> WaitReport?,
    ) {
        oldest = longest
        if (longest < MINIMUM_LOGGED_WAIT || loggedAt?.let { now - it < LINE_INTERVAL } == true) return
        val oldestItem = report() ?: return
        loggedAt = now
        write(line(oldestItem, waiting))
        metrics.onEvent("item_waiting", describe(oldestItem.reason).substringAfter('=').substringBefore(' '))
    }

    /** Resets the gauge, because this replica is no longer the leader. */
    fun clear() {
        oldest = Duration.ZERO
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        private val MINIMUM_LOGGED_WAIT = 1.seconds
        private val LINE_INTERVAL = 1.seconds

        /** Returns the log line for [report], with the number of [waiting] items. */
        fun line(report: WaitReport, waiting: Int): String = with(report.upstreams) {
            "event=item-waiting item=${report.key.item} job=${report.key.job} " +
                "waited-ms=${report.waited.inWholeMilliseconds} ${describe(report.reason)} waiting=$waiting " +
                "listed=$listed usable=$usable leaving=$leaving suspended=$suspended loading=$loading " +
                "without-weights=$withoutWeights without-place=$withoutFreeSlot avoided=$avoided"
        }

        private fun describe(reason: WaitReason): String = when (reason) {
            is WaitReason.Paused -> "reason=paused paused-ms=${reason.remaining.inWholeMilliseconds}"
            is WaitReason.NoMemory -> "reason=no-memory tokens=${reason.tokens}"
            is WaitReason.Share -> "reason=share ahead=${reason.ahead}"
            WaitReason.NoCandidate -> "reason=no-candidate"
            WaitReason.Startable -> "reason=startable"
        }
    }
}
