package org.zinniahoist.gateway.entry

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.zinniahoist.gateway.upstream.RecordingUpstream
import org.zinniahoist.policy.routes.RouteKind
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends raw request lines to an entry and compares them with those that reach the upstream. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class OriginalTargetTest {
    private val upstream = RecordingUpstream()
    private val fixture =
        EntryFixture(1.seconds, latency = Duration.ZERO, RouteKind.AT_MOST_ONCE, otherUpstream = upstream.endpoint)
    private var count = 0

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

    /** Guards against a request that runs with another path or query than the client's. */
    @Test
    fun `a target reaches the upstream byte for byte`() {
        val random = Random(36)
        repeat(400) {
            val target = validTarget(random)
            expectThat(target to send(target).take(STATUS_LENGTH)).isEqualTo(target to "HTTP/1.1 200")
            expectThat(upstream.requestLines.remove()).isEqualTo("POST $target")
        }
    }

    /** Guards against bytes in a target that another process on the way may take for the end of the line. */
    @Test
    fun `a target that can't be passed on unchanged gets status 400`() {
        val random = Random(37)
        repeat(200) {
            val target = invalidTarget(random)
            expectThat(target to send(target).take(STATUS_LENGTH)).isEqualTo(target to "HTTP/1.1 400")
        }
        expectThat(upstream.requestLines).isEmpty()
    }

    /** Guards against rewriting that reaches a route which the client's own bytes do not name. */
    @Test
    fun `a target that names its route only after rewriting gets status 404`() {
        for (target in listOf("//s/x", "/./s/x", "/%73/x", "/t/../s/x", "/S/x")) {
            expectThat(send(target)).startsWith("HTTP/1.1 404")
        }
        expectThat(upstream.requestLines).isEmpty()
    }

    /** Guards against a client that replaces its target by a header. */
    @Test
    fun `a header can't replace the target`() {
        expectThat(send("/s/a", "x-original-target: /s/b")).startsWith("HTTP/1.1 200")
        expectThat(upstream.requestLines.remove()).isEqualTo("POST /s/a")
    }

    /** Guards against a field of a client that is lost because the process uses its name. */
    @Test
    fun `a header of any name reaches the upstream`() {
        expectThat(send("/s/a", "x-original-target: /s/b")).startsWith("HTTP/1.1 200")
        expectThat(upstream.headers).contains("x-original-target: /s/b")
    }

    /** Guards against requests on a kept connection that get the target of the one before. */
    @Test
    fun `each request of a connection keeps its own target`() {
        Socket(fixture.clients.host, fixture.clients.port).use { socket ->
            for (target in listOf("/s/1;a", "/s/2//b", "/s/3?%20")) {
                socket.getOutputStream().write(request(target))
                expectThat(socket.getInputStream().bufferedReader().readLine()).startsWith("HTTP/1.1 200")
                socket.getInputStream().skip(socket.getInputStream().available().toLong())
            }
        }
        expectThat(upstream.requestLines.toList()).containsExactly("POST /s/1;a", "POST /s/2//b", "POST /s/3?%20")
    }

    /** Guards against headers that are joined, reordered or changed on the way. */
    @Test
    fun `repeated and odd headers reach the upstream`() {
        send("/s/h", "x-twice: 1", "x-odd_name!: a;b,,\"c\\", "x-twice: 2", "x-empty:")
        val sent = upstream.headers.filter { it.startsWith("x-") && "request" !in it }
        expectThat(sent.filter { it.startsWith("x-twice") }).containsExactly("x-twice: 1", "x-twice: 2")
        expectThat(sent).contains("x-odd_name!: a;b,,\"c\\", "x-empty: ")
    }

    /** Guards against fields that the HTTP library splits, joins, drops or fails to read. */
    @Test
    fun `fields that the HTTP library knows reach the upstream unchanged`() {
        expectThat(send("/s/h", "cookie: ;a=1;b", "carried-cookie: 1", "x-http2-path: /p", "te: \u00e9\""))
            .startsWith("HTTP/1.1 200")
        expectThat(upstream.headers).contains("cookie: ;a=1;b", "carried-cookie: 1", "x-http2-path: /p")
    }

    /** Guards against fields of one connection that pass to another one. */
    @Test
    fun `fields that a client names as options of its connection are left out`() {
        send("/s/h", "connection: x-hop, keep-alive", "x-hop: 1", "x-kept: 1")
        expectThat(upstream.headers.filter { it.startsWith("x-hop") || it.startsWith("x-kept") })
            .containsExactly("x-kept: 1")
    }

    private fun validTarget(random: Random): String =
        "/s/" + List(random.nextInt(12)) { PARTS.random(random) }.joinToString("")

    private fun invalidTarget(random: Random): String {
        val bad = listOf("%", "%2", "%zz", "#", "#a", "\u0001", "\u007f", "\u00e9").random(random)
        return listOf("/s/a$bad", "/s/$bad/b?c", "*", "s/x", "http://h/s/x", "//%", "?x").random(random)
    }

    private fun request(target: String, vararg headers: String): ByteArray {
        val more = headers.joinToString("") { "$it\r\n" }
        val fields = "host: 127.0.0.1\r\nx-request: q${count++}\r\ncontent-length: 0\r\n$more"
        val head = "POST $target HTTP/1.1\r\n$fields\r\n"
        return head.toByteArray(Charsets.ISO_8859_1)
    }

    private fun send(target: String, vararg headers: String): String =
        Socket(fixture.clients.host, fixture.clients.port).use { socket ->
            socket.getOutputStream().write(request(target, *headers))
            socket.getInputStream().bufferedReader().readLine()
        }

    private companion object {
        /** Length of `HTTP/1.1 200`. */
        const val STATUS_LENGTH = 12
        val PARTS = listOf(
            "a", "Z", "9", "/", "//", ".", "..", "/./", "/../", ";", ";q=3", "?", "&", "=", "+", "%20", "%2F",
            "%2f", "%2e%2E", "%C3%A9", "%00", "%25", "~", "!", "$", "'", "(", ")", "*", ",", ":", "@", "-", "_",
            "\"", "<", ">", "[", "]", "\\", "^", "`", "{", "|", "}",
        )
    }
}
