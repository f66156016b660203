package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * The thread on which all decisions of a core are made. A task that throws an exception is logged, and the thread
 * goes on.
 *
 * @param onFailure told of an error of the runtime, after which the process can't be relied on; must not block.
 */
internal class EngineThread(private val onFailure: (String) -> Unit) : AutoCloseable {
    private val executor = Executors.newSingleThreadScheduledExecutor {
        Thread(it, "engine").apply { isDaemon = true }
    }

    /** Runs [task] after those that were posted before. */
    fun post(task: () -> Unit): Unit = executor.execute { guarded("engine-task-failed", task) }

    /** Runs [task] again and again, with [interval] between the end of one run and the next. */
    fun repeat(interval: Duration, task: () -> Unit) {
        val guardedTask = Runnable { guarded("engine-tick-failed", task) }
        executor.scheduleWithFixedDelay(guardedTask, 0, interval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

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
