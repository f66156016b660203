package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.model.Moment
import java.lang.management.ManagementFactory
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * The thread on which all decisions of a core are made. A task that throws an exception is logged, and the thread
 * goes on.
 *
 * @property load what the tasks cost and how late they start.
 * @param onFailure told of an error of the runtime, after which the process can't be relied on; must not block.
 */
internal class EngineThread(
    val load: EngineLoad = EngineLoad(),
    private val onFailure: (String) -> Unit,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor {
        Thread(it, "engine").apply { isDaemon = true }
    }

    /** Loaded by the first task, as it takes some time. */
    private val threads by lazy { ManagementFactory.getThreadMXBean() }

    /** Runs [task] after those that were posted before. */
    fun post(task: () -> Unit): Unit = post(TaskKind.OTHER, task)

    /** Runs [task] after those that were posted before, and shows its cost under [kind]. */
    fun post(kind: TaskKind, task: () -> Unit) {
        val postedAt = now()
        executor.execute { measured(kind, postedAt) { guarded("engine-task-failed", task) } }
    }

    /** Runs [task] again and again, with [interval] between the end of one run and the next. */
    fun repeat(interval: Duration, task: () -> Unit) {
        var dueAt = now()
        val measuredTask = Runnable {
            measured(TaskKind.TICK, dueAt) { guarded("engine-tick-failed", task) }
            dueAt = now() + interval
        }
        executor.scheduleWithFixedDelay(measuredTask, 0, interval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun measured(kind: TaskKind, dueAt: Moment, task: () -> Unit) {
        val delay = now() - dueAt
        val before = processorTime()
        task()
        load.onTask(kind, delay, processorTime() - before, now())
    }

    private fun processorTime(): Duration =
        if (threads.isCurrentThreadCpuTimeSupported) threads.currentThreadCpuTime.nanoseconds else Duration.ZERO

    private fun now() = Moment(System.nanoTime())

    private fun guarded(event: String, task: () -> Unit) = try {
        task()
    } catch (fault: Exception) {
        logger.error(fault) { "event=$event" }
    } catch (fault: Error) {
        logger.error(fault) { "event=$event" }
        onFailure(fault.toString())
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
