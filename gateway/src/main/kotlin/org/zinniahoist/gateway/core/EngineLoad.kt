package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Kinds of tasks of the engine's thread, by which its processor time is shown. */
internal enum class TaskKind {
    TICK,
    READING,
    RUN_SENT,
    RUN_BEGIN,
    RUN_EVENTS,
    RUN_END,
    RUN_TAKEN,
    OTHER,
    ;

    val label: String = name.lowercase().replace('_', '-')
}

/**
 * Shows what the tasks of the engine's thread cost and how late they start, as gauges and as one line a second. All
 * functions but [show] run on the engine's thread.
 */
internal class EngineLoad(private val write: (String) -> Unit = { logger.info { it } }) {
    /** Written on the engine's thread and read by the thread that answers for the metrics. */
    @Volatile
    private var latest = Span(Duration.ZERO)
    private var begunAt: Moment? = null
    private val counts = LongArray(KINDS.size)
    private val processor = LongArray(KINDS.size)
    private var longestDelay = Duration.ZERO
    private var longestTask = Duration.ZERO
    private var longestKind = TaskKind.OTHER

    /** Shows the figures of the latest line as gauges. */
    fun show(metrics: GatewayMetrics) {
        metrics.gauge("zinniahoist_engine_delay_seconds", "Longest time for which a task waited, in seconds.") {
            latest.longestDelay.toDouble(DurationUnit.SECONDS)
        }
        metrics.gauges("zinniahoist_engine_processor_share", "Share of one processor, by kind of task.", "task") {
            latest.costs.associate { it.kind.label to it.processor / latest.time }
        }
        metrics.gauges("zinniahoist_engine_task_rate", "Tasks in a second, by kind of task.", "task") {
            latest.costs.associate { it.kind.label to it.tasks / latest.time.toDouble(DurationUnit.SECONDS) }
        }
    }

    /** A task ended at [now] that had waited for [delay] and took [cost] of processor time. */
    fun onTask(
        kind: TaskKind,
        delay: Duration,
        cost: Duration,
        now: Moment,
    ) {
        counts[kind.ordinal]++
        processor[kind.ordinal] += cost.inWholeNanoseconds
        longestDelay = maxOf(longestDelay, delay)
        if (cost > longestTask) {
            longestTask = cost
            longestKind = kind
        }
        val begun = begunAt ?: now.also { begunAt = it }
        if (now - begun >= LINE_INTERVAL) close(now - begun, now)
    }

    private fun close(time: Duration, now: Moment) {
        val costs = KINDS.filter { counts[it.ordinal] > 0 }
            .map { TaskCost(it, counts[it.ordinal], processor[it.ordinal].nanoseconds) }
        latest = Span(time, costs, longestDelay)
        write(line(latest))
        begunAt = now
        counts.fill(0)
        processor.fill(0)
        longestDelay = Duration.ZERO
        longestTask = Duration.ZERO
    }

    private fun line(span: Span): String {
        val total = span.costs.fold(Duration.ZERO) { sum, cost -> sum + cost.processor }
        val kinds = span.costs.joinToString("") {
            " ${it.kind.label}=${it.tasks} ${it.kind.label}-ms=${it.processor.tenths}"
        }
        return "event=engine interval-ms=${span.time.inWholeMilliseconds} tasks=${span.costs.sumOf { it.tasks }} " +
            "processor-ms=${total.tenths} longest-delay-ms=${span.longestDelay.tenths} " +
            "longest-task-ms=${longestTask.tenths} longest-task=${longestKind.label}$kinds"
    }

    /** Milliseconds with one digit after the point. */
    private val Duration.tenths: Double get() = inWholeMicroseconds / 100 / 10.0

    private class TaskCost(
        val kind: TaskKind,
        val tasks: Long,
        val processor: Duration,
    )

    /** Figures of the [time] between two lines. */
    private class Span(
        val time: Duration,
        val costs: List<TaskCost> = emptyList(),
        val longestDelay: Duration = Duration.ZERO,
    )

    private companion object {
        private val logger = KotlinLogging.logger {}
        val LINE_INTERVAL = 1.seconds
        val KINDS = TaskKind.entries
    }
}
