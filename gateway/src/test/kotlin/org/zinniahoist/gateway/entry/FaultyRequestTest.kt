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
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.net.Socket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends requests that two readers take differently to an entry, each with a proper one behind it. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class FaultyRequestTest {
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

    /** Guards against a request inside the body of another one, and against a framing or host that is ambiguous. */
    @Test
    fun `a faulty request is refused and the connection ends`() {
        val answers = sendAll(
            FAULTY_FIELDS.map { (fields, _) ->
                request("/s/a", fields) + "0\r\n\r\n" + request("/s/behind")
            },
        )
        expectThat(answers.map(::statusesOf)).isEqualTo(FAULTY_FIELDS.map { (_, status) -> listOf(status) })
        expectThat(upstream.requestLines).isEmpty()
    }

    /** Guards against refusals that overtake the answers to earlier requests of the connection. */
    @Test
    fun `requests before a faulty one are answered first`() {
        val faulty = request("/s/3", listOf("Host: other"))
        val answer = sendAll(listOf(request("/s/1") + request("/s/2") + faulty + request("/s/4"))).single()
        expectThat(statusesOf(answer)).containsExactly(200, 200, 400)
        expectThat(upstream.requestLines.toList()).containsExactlyInAnyOrder("POST /s/1", "POST /s/2")
    }

    /** Guards against a body that ends elsewhere for another reader. */
    @Test
    fun `a faulty chunk is refused and the connection ends`() {
        val head = request("/s/a", listOf("Transfer-Encoding: chunked"))
        val answers = sendAll(FAULTY_SIZES.map { "$head$it\r\na\r\n0\r\n\r\n" + request("/s/behind") })
        expectThat(answers.map(::statusesOf)).isEqualTo(FAULTY_SIZES.map { listOf(400) })
        expectThat(upstream.requestLines).isEmpty()
    }

    private fun request(target: String, fields: List<String> = emptyList()): String {
        val hasFraming = fields.any { it.startsWith("Content-Length") || it.startsWith("Transfer-Encoding") }
        val framing = if (hasFraming) emptyList() else listOf("Content-Length: 0")
        val lines = listOf("POST $target HTTP/1.1", "Host: 127.0.0.1", "X-Request: r1") + framing + fields
        return lines.joinToString("") { "$it\r\n" } + "\r\n"
    }

    private fun statusesOf(answer: String): List<Int> =
        Regex("HTTP/1.1 (\\d+)").findAll(answer).map { it.groupValues[1].toInt() }.toList()

    /** Sends each text on a connection of its own; returns what the entry sends on each until it closes it. */
    private fun sendAll(texts: List<String>): List<String> {
        val sockets = texts.map { Socket(fixture.clients.host, fixture.clients.port) }
        sockets.zip(texts) { socket, text -> socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1)) }
        return sockets.map { socket ->
            socket.soTimeout = CLOSE_TIMEOUT_MILLISECONDS
            socket.use { String(it.getInputStream().readAllBytes(), Charsets.ISO_8859_1) }
        }
    }

    private companion object {
        const val CLOSE_TIMEOUT_MILLISECONDS = 5_000

        /** Fields that make a request faulty, with the status of the refusal. */
        val FAULTY_FIELDS = listOf(
            listOf("Content-Length: 4", "Transfer-Encoding: chunked") to 400,
            listOf("Transfer-Encoding: chunked", "Content-Length: 4") to 400,
            listOf("Transfer-Encoding: xchunked") to 501,
            listOf("Host: other") to 400,
            listOf("X-Request: r2") to 400,
            listOf("X-A: 1", " folded") to 400,
            listOf("Content-Length: 4", "Content-Length: 4") to 400,
            listOf("X-A : 1") to 400,
        )
        val FAULTY_SIZES = listOf("0x1", "1x", "+1", "1\n", "11111111111111111")
    }
}
