package org.zinniahoist.gateway.boundary

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.zinniahoist.gateway.entry.EntryFixture
import org.zinniahoist.policy.routes.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.io.IOException
import java.net.Socket
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Sends generated requests to an entry before an upstream that reads them strictly.
 *
 * The system property `boundary.seed` replaces the fixed seed, and `boundary.seconds` the fixed number of connections.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class BoundaryFuzzTest {
    private val upstream = StrictUpstream()
    private val fixture =
        EntryFixture(1.seconds, latency = Duration.ZERO, RouteKind.AT_MOST_ONCE, otherUpstream = upstream.endpoint)
    private val oracle = BoundaryOracle(::isRouted)
    private val seed = System.getProperty("boundary.seed")?.toLong() ?: SEED
    private val duration = System.getProperty("boundary.seconds")?.toLong()?.seconds

    @BeforeAll
    fun start() = fixture.start()

    @AfterAll
    fun stop() {
        fixture.entry.stop()
        fixture.close()
        upstream.close()
    }

    /** Guards against requests that run changed, twice or inside another one, and against an entry that stops. */
    @Test
    fun `what runs is what was sent, and what is refused does not run`() {
        val begin = TimeSource.Monotonic.markNow()
        var connection = 0
        while (if (duration == null) connection < CONNECTIONS else begin.elapsedNow() < duration) {
            checkConnection(seed + connection)
            connection++
        }
        println("event=boundary-fuzz seed=$seed connections=$connection")
        expectThat(upstream.malformed).isEmpty()
    }

    private fun checkConnection(seed: Long) {
        val random = Random(seed)
        val bytes = RequestGenerator(random, fixture.clients.host).connection()
        val messages = StrictMessages(bytes)
        val expected = messages.readAll()
        val statuses = exchange(bytes, expected.size, messages.consumed < bytes.length, random)
        val ran = upstream.received.toList().also { upstream.received.clear() }
        expectThat(oracle.faults(expected, Observation(ran, statuses))).describedAs("seed $seed").isEmpty()
    }

    private fun isRouted(request: WireRequest): Boolean = request.target.startsWith("/s/") &&
        request.fields["host"]?.single()?.substringBefore(':') == fixture.clients.host

    /** Sends [bytes] in pieces of random sizes. Returns [count] statuses and, if [isMoreSent], one that may follow. */
    private fun exchange(
        bytes: String,
        count: Int,
        isMoreSent: Boolean,
        random: Random,
    ): List<Int> = Socket(fixture.clients.host, fixture.clients.port).use { socket ->
        socket.soTimeout = READ_TIMEOUT_MILLISECONDS
        socket.tcpNoDelay = true
        send(socket, bytes, random)
        val text = StringBuilder()
        while (statusesOf(text).size < count && receive(socket, text)) continue
        socket.soTimeout = REFUSAL_TIMEOUT_MILLISECONDS
        if (isMoreSent) receive(socket, text)
        statusesOf(text)
    }

    /** Appends what arrives to [text]. Returns false at the end of the connection or after its time-out. */
    private fun receive(socket: Socket, text: StringBuilder): Boolean {
        val buffer = ByteArray(BUFFER_BYTES)
        val read = try {
            socket.getInputStream().read(buffer)
        } catch (_: IOException) {
            -1
        }
        if (read > 0) text.append(String(buffer, 0, read, Charsets.ISO_8859_1))
        return read > 0
    }

    private fun send(socket: Socket, bytes: String, random: Random) {
        val pieceBytes = listOf(1, 7, 100, 1_400, 1 shl 20).random(random).coerceAtLeast(bytes.length / MAXIMUM_PIECES)
        try {
            for (piece in bytes.chunked(pieceBytes)) {
                socket.getOutputStream().write(piece.toByteArray(Charsets.ISO_8859_1))
            }
        } catch (_: IOException) {
            // The entry has refused a request and closed the connection.
        }
    }

    private fun statusesOf(text: CharSequence): List<Int> =
        Regex("HTTP/1.1 (\\d{3})").findAll(text).map { it.groupValues[1].toInt() }.toList()

    private companion object {
        const val SEED = 42_000L
        const val CONNECTIONS = 1_500
        const val BUFFER_BYTES = 65_536
        const val MAXIMUM_PIECES = 400
        const val READ_TIMEOUT_MILLISECONDS = 5_000

        /** Requests that are cut short get no answer, so that this time passes. */
        const val REFUSAL_TIMEOUT_MILLISECONDS = 100
    }
}
