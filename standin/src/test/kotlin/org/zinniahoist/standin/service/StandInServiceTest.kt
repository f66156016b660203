package org.zinniahoist.standin.service

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.standin.StandInClock
import org.zinniahoist.standin.awaitUntil
import org.zinniahoist.standin.client
import org.zinniahoist.standin.postJson
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

private const val BODY = """{"shop":"Lhotka","flour":12}"""

class StandInServiceTest {
    private fun withService(test: (StandInService) -> Unit) = StandInService(20.0).start().use(test)

    private fun StandInService.post() = client(address).postJson("/orders", BODY, "key-1")

    @Nested
    inner class Executing {
        /** Guards against a double that hides a second execution behind its own deduplication. */
        @Test
        fun `records each execution with key and body`() = withService { service ->
            val statuses = List(2) { service.post().join().status().code() }
            expectThat(statuses).isEqualTo(listOf(201, 201))
            expectThat(service.executions.first()).isEqualTo(Execution(1, "/orders", "key-1", BODY))
            expectThat(service.repeatedExecutions()).isEqualTo(mapOf(("key-1" to BODY) to 2))
        }
    }

    @Nested
    inner class Failing {
        private fun failure(fault: ServiceFault, executions: Int) = withService { service ->
            service.failNext(fault)
            expectThat(service.post().handle { _, cause -> cause != null }.join()).isTrue()
            expectThat(service.executions).hasSize(executions)
        }

        /** Guards against a crash that loses the execution or that answers it. */
        @Test
        fun `executes and crashes without an answer`() = withService { service ->
            service.failNext(ServiceFault.CRASH_AFTER_EXECUTION)
            expectThat(service.post().handle { _, cause -> cause != null }.join()).isTrue()
            expectThat(service.post().handle { _, cause -> cause != null }.join()).isTrue()
            expectThat(service.executions).hasSize(1)
            service.start()
            expectThat(service.post().join().status().code()).isEqualTo(201)
        }

        /** Guards against a reset that executes the request. */
        @Test
        fun `resets before the execution`() = failure(ServiceFault.RESET_BEFORE_EXECUTION, 0)

        /** Guards against a reset that loses the execution. */
        @Test
        fun `resets after the execution`() = failure(ServiceFault.RESET_AFTER_EXECUTION, 1)

        /** Guards against a silence that ends the connection. */
        @Test
        fun `goes silent after the execution`() = withService { service ->
            service.failNext(ServiceFault.SILENCE_AFTER_EXECUTION)
            val silent = service.post()
            awaitUntil { service.executions.size == 1 }
            com.linecorp.armeria.client.ClientFactory.builder().build().use { factory ->
                expectThat(client(service.address, factory).get("/orders").aggregate().join().status().code())
                    .isEqualTo(200)
            }
            expectThat(silent.isDone).isFalse()
        }

        /** Guards against a delay that is applied after the execution or to requests after its end. */
        @Test
        fun `delays the execution of the requests received meanwhile`() = withService { service ->
            service.delay = 60_000.seconds
            val delayed = service.post()
            awaitUntil { service.received == 1 }
            service.delay = 0.seconds
            expectThat(client(service.address).postJson("/orders", BODY, "key-2").join().status().code()).isEqualTo(201)
            expectThat(service.executions).isEqualTo(listOf(Execution(1, "/orders", "key-2", BODY)))
            expectThat(delayed.isDone).isFalse()
        }

        /** Guards against a delay that is ignored or that loses the request. */
        @Test
        fun `executes after the delay`() = withService { service ->
            val clock = StandInClock(20.0)
            service.delay = 2.seconds
            expectThat(service.post().join().status().code()).isEqualTo(201)
            expectThat(clock.now()).isGreaterThanOrEqualTo(2.seconds)
            expectThat(service.executions).hasSize(1)
        }
    }
}
