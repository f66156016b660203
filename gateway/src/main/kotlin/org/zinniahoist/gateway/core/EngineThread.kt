package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.model.Moment
import java.lang.management.ManagementFactory
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Single thread that runs the scheduling logic of a core. An exception thrown by a task is logged and does not stop the
 * thread.
 *
 * @property load measures processor time and queueing delay of the tasks.
 * @param onFailure called with a JVM [Error], after which the process state is unreliable; must not block.
 */
internal class EngineThread(
    val load: EngineLoad = EngineLoad(),
    private val onFailure: (String) -> Unit,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor {
        Thread(it, "engine").apply { isDaemon = true }
    }

    /** Initialised by the first task on the engine thread, because loading the bean is slow. */
    private val threads by lazy { ManagementFactory.getThreadMXBean() }

    /** Queues [task] behind all tasks posted earlier. */
    fun post(task: () -> Unit): Unit = post(TaskKind.OTHER, task)

    /** Queues [task] behind all tasks posted earlier, and reports its processor time under [kind]. */
    fun post(kind: TaskKind, task: () -> Unit) {
        val postedAt = now()
        executor.execute { measured(kind, postedAt) { runSafely("engine-task-failed", task) } }
    }

    /** Runs [task] repeatedly, with a delay of [interval] between the end of one run and the start of the next. */
    fun repeat(interval: Duration, task: () -> Unit) {
        var dueAt = now()
        val measuredTask = Runnable {
            measured(TaskKind.TICK, dueAt) { runSafely("engine-tick-failed", task) }
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

    private fun runSafely(event: String, task: () -> Unit) = try {
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
