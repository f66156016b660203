package org.zinniahoist.gateway.entry

import org.junit.jupiter.api.Test
import org.zinniahoist.policy.routes.RouteKind
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.startsWith
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

    /**
     * Stops an entry whose upstream takes [work] and returns the status lines of all requests that reached it, "" where
     * the connection ended without an answer.
     */
    private fun answersOfBegun(kind: RouteKind, work: Duration): List<String> =
        EntryFixture(grace = 5.seconds, work = work, kind = kind).use { fixture ->
            fixture.start()
            val clients = KeptConnections(fixture.clients, 8, 10.milliseconds)
            clients.start()
            Thread.sleep(SERVE.inWholeMilliseconds)
            fixture.entry.stop()
            clients.join()
            fixture.begun.map { clients.answers[it].orEmpty() }
        }

    /** Guards against requests that are taken late in the grace, run, and lose their connection when it is over. */
    @Test
    fun `an entry that stops takes no unrepeatable request that may outlast it`() {
        val answers = answersOfBegun(RouteKind.AT_MOST_ONCE, work = 3.seconds)
        expectThat(answers).isNotEmpty().all { startsWith("HTTP/1.1 200") }
    }

    /** Guards against requests that outlast the grace and lose their connection, or are said not to have run. */
    @Test
    fun `requests that outlast the grace are answered with an unknown outcome`() {
        val answers = answersOfBegun(RouteKind.AT_MOST_ONCE, work = 8.seconds)
        expectThat(answers).isNotEmpty().all { startsWith("HTTP/1.1 504") }
    }

    private companion object {
        val SERVE = 500.milliseconds
    }
}
