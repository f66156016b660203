package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.lang.management.ManagementFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class EngineThreadTest {
    /** Guards against a process that keeps its leadership after its engine thread has failed. */
    @Test
    fun `an error in a task is reported as a process failure`() {
        val reported = CompletableFuture<String>()
        EngineThread(onFailure = reported::complete).use { thread ->
            thread.repeat(1.milliseconds) { throw StackOverflowError("deep") }
            expectThat(reported.get(10, TimeUnit.SECONDS)).isEqualTo("java.lang.StackOverflowError: deep")
        }
    }

    /** Guards against an engine thread that stops at the first task that throws an exception. */
    @Test
    fun `a repeated task that throws an exception runs again`() {
        val runs = CountDownLatch(3)
        EngineThread(onFailure = {}).use { thread ->
            thread.repeat(1.milliseconds) {
                runs.countDown()
                error("thrown by the test")
            }
            expectThat(runs.await(10, TimeUnit.SECONDS)).isTrue()
        }
    }

    /** Guards against a delay that is measured from the start of a task, which hides queueing on a busy thread. */
    @Test
    fun `the queueing delay of a task is reported`() {
        val line = CompletableFuture<String>()
        EngineThread(EngineLoad { if ("run-events" in it) line.complete(it) }, onFailure = {}).use { thread ->
            val isPosted = CountDownLatch(1)
            // The busy time starts once the other task is in the queue, however late its poster is.
            thread.post {
                isPosted.await()
                spin(BUSY_TIME)
            }
            thread.post(TaskKind.RUN_EVENTS) {}
            isPosted.countDown()
            thread.repeat(10.milliseconds) {}
            val delay = DELAY.find(line.get(10, TimeUnit.SECONDS))?.groupValues?.get(1)?.toDouble()
            expectThat(delay).isNotNull().isGreaterThanOrEqualTo(BUSY_TIME.inWholeMilliseconds.toDouble())
        }
    }

    /** Guards against processor time that is attributed to the wrong kind of task. */
    @Test
    fun `the processor time of a task is reported under its kind`() {
        val line = CompletableFuture<String>()
        EngineThread(EngineLoad { if ("run-end" in it) line.complete(it) }, onFailure = {}).use { thread ->
            thread.post(TaskKind.RUN_END) { burn(BUSY_TIME) }
            thread.repeat(10.milliseconds) {}
            val cost = COST.find(line.get(10, TimeUnit.SECONDS))?.groupValues?.get(1)?.toDouble()
            expectThat(cost).isNotNull().isGreaterThanOrEqualTo(BUSY_TIME.inWholeMilliseconds.toDouble())
        }
    }

    private fun spin(time: Duration) = waitUntil(time) { System.nanoTime() }

    private fun burn(time: Duration) = waitUntil(time) { ManagementFactory.getThreadMXBean().currentThreadCpuTime }

    private fun waitUntil(time: Duration, clock: () -> Long) {
        val end = clock() + time.inWholeNanoseconds
        while (clock() < end) Thread.onSpinWait()
    }

    private companion object {
        val BUSY_TIME = 200.milliseconds
        val DELAY = Regex(" longest-delay-ms=([0-9.]+)")
        val COST = Regex(" run-end-ms=([0-9.]+)")
    }
}
