package org.zinniahoist.gateway.entry

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.zinniahoist.gateway.upstream.RecordingUpstream
import org.zinniahoist.policy.routes.RouteKind
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends requests of clients that prefer HTTP/2 to an entry. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class ProtocolOfferTest {
    private val upstream = RecordingUpstream()
    private val fixture =
        EntryFixture(1.seconds, latency = Duration.ZERO, RouteKind.AT_MOST_ONCE, otherUpstream = upstream.endpoint)

    @BeforeAll
    fun start() = fixture.start()

    @AfterAll
    fun stop() {
        fixture.entry.stop()
        fixture.close()
        upstream.close()
    }

    @BeforeEach
    fun clear() = upstream.requestLines.clear()

    /** Guards against an offer to upgrade that changes the target or the status of a request. */
    @Test
    fun `an offer to upgrade to HTTP 2 is ignored`() {
        val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build()
        val targets = listOf("/s/plain", "/s/%2F//;q", "/s/../s?a=%20&b..")
        for (target in targets) {
            val request = HttpRequest.newBuilder(URI("http://${fixture.clients}$target"))
                .header("x-request", "r1")
                .POST(HttpRequest.BodyPublishers.noBody())
                .build()
            val response = client.send(request, BodyHandlers.discarding())
            expectThat(response.statusCode()).isEqualTo(200)
            expectThat(response.version()).isEqualTo(HttpClient.Version.HTTP_1_1)
        }
        expectThat(upstream.requestLines.toList()).containsExactly(targets.map { "POST $it" })
    }

    /** Guards against a protocol on which targets are not kept byte for byte. */
    @Test
    fun `a connection that begins with HTTP 2 is refused`() {
        val answer = Socket(fixture.clients.host, fixture.clients.port).use { socket ->
            socket.soTimeout = CLOSE_TIMEOUT_MILLISECONDS
            socket.getOutputStream().write(
                "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\u0000\u0000\u0000\u0004".encodeToByteArray(),
            )
            String(socket.getInputStream().readAllBytes())
        }
        expectThat(answer).startsWith("HTTP/1.1 505")
        expectThat(upstream.requestLines).isEmpty()
    }

    private companion object {
        const val CLOSE_TIMEOUT_MILLISECONDS = 5_000
    }
}
