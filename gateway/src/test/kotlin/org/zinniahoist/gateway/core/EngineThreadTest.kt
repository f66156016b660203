package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

internal class EngineThreadTest {
    /** Guards against a leader whose engine has ended while its process goes on and keeps the leadership. */
    @Test
    fun `an error in a task is reported as the end of the process`() {
        val reported = CompletableFuture<String>()
        EngineThread(onFailure = reported::complete).use { thread ->
            thread.repeat(1.milliseconds) { throw StackOverflowError("deep") }
            expectThat(reported.get(10, TimeUnit.SECONDS)).isEqualTo("java.lang.StackOverflowError: deep")
        }
    }

    /** Guards against an engine that ends with the first task that throws an exception. */
    @Test
    fun `a task that throws an exception is run again`() {
        val runs = CountDownLatch(3)
        EngineThread(onFailure = {}).use { thread ->
            thread.repeat(1.milliseconds) {
                runs.countDown()
                error("once more")
            }
            expectThat(runs.await(10, TimeUnit.SECONDS)).isTrue()
        }
    }
}
