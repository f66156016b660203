package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.UpstreamCounts
import org.zinniahoist.policy.dispatch.WaitReason
import org.zinniahoist.policy.dispatch.WaitReport
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class WaitReporterTest {
    private val counts = UpstreamCounts(listed = 9, usable = 1, suspended = 2, withoutFreeSlot = 3, avoided = 1)

    private fun report(waited: Int, reason: WaitReason = WaitReason.NoCandidate) =
        WaitReport(ItemKey("j", RequestIdentifier("x")), waited.milliseconds, reason, counts)

    private fun WaitReporter.observe(report: WaitReport, now: Moment) =
        observe(report.waited, waiting = 1, now) { report }

    /** Guards against a line without the reason for the wait. */
    @Test
    fun `the line reports the reason and the upstream counts`() {
        expectThat(WaitReporter.line(report(1_500), waiting = 4)).isEqualTo(
            "event=item-waiting item=x job=j waited-ms=1500 reason=no-candidate waiting=4 listed=9 usable=1 " +
                "leaving=0 suspended=2 loading=0 without-weights=0 without-place=3 avoided=1",
        )
        expectThat(WaitReporter.line(report(1_500, WaitReason.Paused(30.milliseconds)), waiting = 4))
            .contains("reason=paused paused-ms=30 ")
    }

    /** Guards against a wait for memory or for the share of others that looks like a lack of upstreams. */
    @Test
    fun `names the memory that an item waits for and the items ahead`() {
        expectThat(WaitReporter.line(report(1_500, WaitReason.NoMemory(940)), waiting = 4))
            .contains("reason=no-memory tokens=940 ")
        expectThat(
            WaitReporter.line(report(1_500, WaitReason.Share(12)), waiting = 40),
        ).contains("reason=share ahead=12 ")
    }

    /** Guards against log flooding while many items wait, and against lines for short waits. */
    @Test
    fun `writes at most one line per second, for long waits only`() {
        val lines = ArrayList<String>()
        val log = WaitReporter(GatewayMetrics(), lines::add)
        log.observe(report(900), Moment.ZERO)
        repeat(40) { log.observe(report(1_000 + 50 * it), Moment.ZERO + (50 * it).milliseconds) }
        expectThat(lines.size).isEqualTo(2)
    }

    /** Guards against a leader that scans all upstreams in each tick without writing a line. */
    @Test
    fun `a report is requested only to write a line`() {
        var reports = 0
        val log = WaitReporter(GatewayMetrics()) {}
        repeat(39) { tick ->
            val waited = 50.milliseconds * tick
            log.observe(waited, waiting = 1, Moment.ZERO + waited) { report(2_000).also { reports++ } }
        }
        expectThat(reports).isEqualTo(1)
    }

    /** Guards against a gauge that shows an item that no longer waits or that another replica now runs. */
    @Test
    fun `the gauge reports the wait of the oldest item`() {
        val metrics = GatewayMetrics()
        val log = WaitReporter(metrics)
        log.observe(report(2_500), Moment.ZERO)
        expectThat(metrics.text()).contains("zinniahoist_oldest_waiting_item_seconds 2.5")
        log.clear()
        expectThat(metrics.text()).contains("zinniahoist_oldest_waiting_item_seconds 0.0")
        log.observe(report(2_500), Moment.ZERO + 1.seconds)
        log.observe(Duration.ZERO, waiting = 0, Moment.ZERO + 2.seconds) { null }
        expectThat(metrics.text()).contains("zinniahoist_oldest_waiting_item_seconds 0.0")
    }
}
