package org.zinniahoist.gateway.entry

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Stopping an entry while clients send requests on kept connections. */
class EntryStopTest {
    private fun expectNothingLost(connections: Int, work: Duration, longestPause: Duration) {
        EntryFixture(grace = 5.seconds, work = work).use { fixture ->
            fixture.start()
            val clients = KeptConnections(fixture.clients, connections, longestPause)
            clients.start()
            Thread.sleep(SERVE.inWholeMilliseconds)
            fixture.entry.stop()
            clients.join()
            expectThat(clients.answers.size).isGreaterThan(connections)
            expectThat(clients.unanswered.filter { it in fixture.begun }).isEmpty()
        }
    }

    /** Guards against requests that are passed on and lose their connection when the time to stop is over. */
    @Test
    fun `an entry that is never without a request breaks none when it stops`(): Unit =
        expectNothingLost(connections = 32, work = 300.milliseconds, longestPause = 10.milliseconds)

    /** Guards against requests that arrive and are passed on just when a quiet entry closes its connections. */
    @Test
    fun `an entry that is quiet now and then breaks no request when it stops`(): Unit =
        repeat(4) { expectNothingLost(connections = 4, work = 20.milliseconds, longestPause = 40.milliseconds) }

    private companion object {
        val SERVE = 500.milliseconds
    }
}
