package org.zinniahoist.gateway.metrics

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import kotlin.time.Duration.Companion.milliseconds

internal class GatewayMetricsTest {
    private val metrics = GatewayMetrics()

    /** Guards against recording latencies in a unit other than the seconds of the histogram's name and bounds. */
    @Test
    fun `records a request in the bucket of its latency in seconds`() {
        metrics.onRequest("answer", 120.milliseconds)
        expectThat(metrics.text())
            .contains("""zinniahoist_request_seconds_bucket{outcome="answer",le="0.1"} 0""")
            .contains("""zinniahoist_request_seconds_bucket{outcome="answer",le="0.15"} 1""")
    }

    /** Guards against a gauge that keeps the value it had at registration. */
    @Test
    fun `reads a gauge at each scrape and counts events by outcome`() {
        var open = 1
        metrics.gauge("zinniahoist_open", "Open.") { open }
        open = 7
        repeat(2) { metrics.onEvent("order", "accepted") }
        expectThat(metrics.text())
            .contains("zinniahoist_open 7.0")
            .contains("""zinniahoist_events_total{event="order",outcome="accepted"} 2.0""")
    }
}
