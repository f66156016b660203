package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Kind of a task on the engine thread; processor time is reported for each kind. */
internal enum class TaskKind {
    TICK,
    READING,
    RUN_SENT,
    RUN_BEGIN,
    RUN_EVENTS,
    RUN_END,
    RUN_TAKEN,
    REWARD_END,
    OTHER,
    ;

    val label: String = name.lowercase().replace('_', '-')
}

/**
 * Reports the processor time and the queueing delay of tasks on the engine thread, as gauges and as one log line per
 * second. All functions except [registerGauges] run on the engine thread.
 */
internal class EngineLoad(private val write: (String) -> Unit = { logger.info { it } }) {
    /** Written on the engine thread and read by the metrics endpoint. */
    @Volatile
    private var latest = LoadInterval(Duration.ZERO)
    private var intervalStart: Moment? = null
    private val counts = LongArray(KINDS.size)
    private val processor = LongArray(KINDS.size)
    private var longestDelay = Duration.ZERO
    private var longestTask = Duration.ZERO
    private var longestKind = TaskKind.OTHER

    /** Registers gauges for the values of the latest log line. */
    fun registerGauges(metrics: GatewayMetrics) {
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

    /** Records a task that ended at [now] after a queueing delay of [delay] and [cost] of processor time. */
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
        val start = intervalStart ?: now.also { intervalStart = it }
        if (now - start >= LINE_INTERVAL) finishInterval(now - start, now)
    }

    private fun finishInterval(time: Duration, now: Moment) {
        val costs = KINDS.filter { counts[it.ordinal] > 0 }
            .map { TaskCost(it, counts[it.ordinal], processor[it.ordinal].nanoseconds) }
        latest = LoadInterval(time, costs, longestDelay)
        write(line(latest))
        intervalStart = now
        counts.fill(0)
        processor.fill(0)
        longestDelay = Duration.ZERO
        longestTask = Duration.ZERO
    }

    private fun line(interval: LoadInterval): String {
        val total = interval.costs.fold(Duration.ZERO) { sum, cost -> sum + cost.processor }
        val kinds = interval.costs.joinToString("") {
            " ${it.kind.label}=${it.tasks} ${it.kind.label}-ms=${it.processor.inMilliseconds}"
        }
        return "event=engine interval-ms=${interval.time.inWholeMilliseconds} " +
            "tasks=${interval.costs.sumOf { it.tasks }} processor-ms=${total.inMilliseconds} " +
            "longest-delay-ms=${interval.longestDelay.inMilliseconds} " +
            "longest-task-ms=${longestTask.inMilliseconds} longest-task=${longestKind.label}$kinds"
    }

    /** Duration in milliseconds, truncated to one decimal place. */
    private val Duration.inMilliseconds: Double get() = inWholeMicroseconds / 100 / 10.0

    private class TaskCost(
        val kind: TaskKind,
        val tasks: Long,
        val processor: Duration,
    )

    /** Load during a reporting interval of length [time]. */
    private class LoadInterval(
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
