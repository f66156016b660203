package org.zinniahoist.gateway.connections

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.connections.ClosingReason
import java.util.EnumMap
import kotlin.time.Duration.Companion.seconds

/**
 * Counts the connections to [address] that the process closes by itself. Writes at most one line a second for each
 * reason, because a crowd opens thousands of connections a second. Thread-safe.
 */
internal class ClosureLog(
    private val address: String,
    private val metrics: GatewayMetrics,
    private val clock: () -> Moment,
) {
    private class Tally(
        var lastLine: Moment,
        var unreported: Int,
    )

    private val tallies = EnumMap<ClosingReason, Tally>(ClosingReason::class.java)

    fun onClosed(reason: ClosingReason) {
        metrics.onEvent("connection_closed", "${address}_${reason.name.lowercase()}")
        val count = countToReport(reason, clock()) ?: return
        val text = reason.name.lowercase().replace('_', '-')
        logger.info { "event=connections-closed address=$address reason=$text count=$count" }
    }

    /** Counts a closure at [now]. Returns the number since the last line if another line is due, or null. */
    @Synchronized
    private fun countToReport(reason: ClosingReason, now: Moment): Int? {
        val tally = tallies.getOrPut(reason) { Tally(now - INTERVAL, unreported = 0) }
        tally.unreported++
        if (now - tally.lastLine < INTERVAL) return null
        tally.lastLine = now
        return tally.unreported.also { tally.unreported = 0 }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val INTERVAL = 1.seconds
    }
}
