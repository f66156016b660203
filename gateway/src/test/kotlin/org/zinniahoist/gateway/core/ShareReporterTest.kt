package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WorkspaceName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty

internal class ShareReporterTest {
    private val metrics = GatewayMetrics()
    private val reporter = ShareReporter(metrics)

    private fun lines() = metrics.text().lines().filter { it.startsWith("zinniahoist_workspace_running_tokens{") }

    /** Guards against a number of time series that grows with the workspaces of a configuration. */
    @Test
    fun `names at most 100 workspaces`() {
        reporter.observe(Moment.ZERO) { (100..299).associate { WorkspaceName("w$it") to 2L } + (null to 5L) }
        expectThat(lines()).hasSize(101).contains("zinniahoist_workspace_running_tokens{workspace=\"other\"} 205.0")
        reporter.clear()
        expectThat(lines()).isEmpty()
    }
}
