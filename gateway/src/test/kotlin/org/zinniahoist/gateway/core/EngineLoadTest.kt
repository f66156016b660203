package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.single
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

internal class EngineLoadTest {
    private val lines = ArrayList<String>()
    private val load = EngineLoad(lines::add)

    private fun task(
        kind: TaskKind,
        at: Duration,
        delay: Duration = Duration.ZERO,
        cost: Duration = Duration.ZERO,
    ) = load.onTask(kind, delay, cost, Moment.ZERO + at)

    /** Guards against an overloaded leader whose log does not show which tasks took the processor time. */
    @Test
    fun `the line reports processor time by kind of task and the longest delay`() {
        val metrics = GatewayMetrics()
        load.registerGauges(metrics)
        task(TaskKind.TICK, at = 0.milliseconds, cost = 2.milliseconds)
        repeat(100) { task(TaskKind.RUN_EVENTS, at = 500.milliseconds, cost = 40.microseconds) }
        task(TaskKind.RUN_END, at = 900.milliseconds, delay = 120.milliseconds, cost = 3.milliseconds)
        task(TaskKind.TICK, at = 1_250.milliseconds, delay = 30.milliseconds, cost = 1.milliseconds)
        expectThat(lines).single().isEqualTo(
            "event=engine interval-ms=1250 tasks=103 processor-ms=10.0 longest-delay-ms=120.0 " +
                "longest-task-ms=3.0 longest-task=run-end tick=2 tick-ms=3.0 run-events=100 run-events-ms=4.0 " +
                "run-end=1 run-end-ms=3.0",
        )
        expectThat(metrics.text()).contains("zinniahoist_engine_delay_seconds 0.12")
        expectThat(metrics.text()).contains("zinniahoist_engine_processor_share{task=\"run-events\"} 0.0032")
        expectThat(metrics.text()).contains("zinniahoist_engine_task_rate{task=\"run-events\"} 80.0")
    }

    /** Guards against values that accumulate over earlier intervals, and against more than one line per second. */
    @Test
    fun `a line covers the interval since the previous line`() {
        repeat(400) { task(TaskKind.RUN_EVENTS, at = (10 * it).milliseconds, cost = 1.milliseconds) }
        expectThat(lines).hasSize(3)
        expectThat(lines.last()).contains("interval-ms=1000 tasks=100 processor-ms=100.0 ")
    }
}
