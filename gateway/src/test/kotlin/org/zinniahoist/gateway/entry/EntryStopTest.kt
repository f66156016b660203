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

/** Tests the shutdown of an entry while clients send requests on keep-alive connections. */
class EntryStopTest {
    private fun expectNoLostRequests(connections: Int, latency: Duration, maximumPause: Duration) {
        EntryFixture(grace = 5.seconds, latency = latency).use { fixture ->
            fixture.start()
            val clients = KeepAliveClients(fixture.clients, connections, maximumPause)
            clients.start()
            Thread.sleep(SERVING_TIME.inWholeMilliseconds)
            fixture.entry.stop()
            clients.join()
            expectThat(clients.answers.size).isGreaterThan(connections)
            expectThat(clients.unanswered.filter { it in fixture.receivedRequests }).isEmpty()
        }
    }

    /** Guards against dispatched requests whose connections close at the end of the grace period. */
    @Test
    fun `an entry under constant load loses no request during its shutdown`(): Unit =
        expectNoLostRequests(connections = 32, latency = 300.milliseconds, maximumPause = 10.milliseconds)

    /** Guards against requests that are dispatched just as an idle entry closes its connections. */
    @Test
    fun `an entry that is temporarily idle loses no request during its shutdown`(): Unit =
        repeat(4) { expectNoLostRequests(connections = 4, latency = 20.milliseconds, maximumPause = 40.milliseconds) }

    /**
     * Stops an entry whose upstream responds after [latency]. Returns the status lines for all requests that reached
     * the upstream, "" where the connection closed without a response.
     */
    private fun responsesToReceived(kind: RouteKind, latency: Duration): List<String> =
        EntryFixture(grace = 5.seconds, latency = latency, kind = kind).use { fixture ->
            fixture.start()
            val clients = KeepAliveClients(fixture.clients, 8, 10.milliseconds)
            clients.start()
            Thread.sleep(SERVING_TIME.inWholeMilliseconds)
            fixture.entry.stop()
            clients.join()
            fixture.receivedRequests.map { clients.answers[it].orEmpty() }
        }

    /** Guards against dispatching requests late in the grace period that lose their connection at its end. */
    @Test
    fun `an entry in shutdown dispatches no non-repeatable request that may outlast it`() {
        val answers = responsesToReceived(RouteKind.AT_MOST_ONCE, latency = 3.seconds)
        expectThat(answers).isNotEmpty().all { startsWith("HTTP/1.1 200") }
    }

    /** Guards against requests that outlast the grace period without a response, or are reported as not run. */
    @Test
    fun `requests that outlast the grace are answered with an unknown outcome`() {
        val answers = responsesToReceived(RouteKind.AT_MOST_ONCE, latency = 8.seconds)
        expectThat(answers).isNotEmpty().all { startsWith("HTTP/1.1 504") }
    }

    private companion object {
        val SERVING_TIME = 500.milliseconds
    }
}
