package org.zinniahoist.gateway.entry

import org.zinniahoist.model.Endpoint
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Runs clients that send sequential requests on keep-alive connections until [endpoint] refuses connections.
 *
 * @param maximumPause maximum of the random pause between two requests.
 */
internal class KeepAliveClients(
    private val endpoint: Endpoint,
    private val count: Int,
    private val maximumPause: Duration,
) {
    private val next = AtomicInteger()
    private val threads = ArrayList<Thread>()

    /** Identifiers of requests whose connection closed before a complete response. */
    val unanswered: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Status lines of the responses by request identifier. */
    val answers = ConcurrentHashMap<String, String>()

    fun start() {
        repeat(count) { threads += thread(isDaemon = true) { connectRepeatedly(Random(it)) } }
    }

    /** Waits until the endpoint has refused a connection of each client. */
    fun join(): Unit = threads.forEach { it.join(JOIN_TIMEOUT.inWholeMilliseconds) }

    private fun connectRepeatedly(random: Random) {
        while (true) {
            val socket = try {
                Socket(endpoint.host, endpoint.port)
            } catch (_: IOException) {
                return
            }
            socket.use { serve(it, random) }
        }
    }

    private fun serve(socket: Socket, random: Random) {
        val reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            Thread.sleep(random.nextLong(maximumPause.inWholeMilliseconds + 1))
            val identifier = "q${next.incrementAndGet()}"
            unanswered += identifier
            val head = try {
                socket.getOutputStream().write(request(identifier))
                generateSequence { reader.readLine()?.ifEmpty { null } }.toList()
            } catch (_: IOException) {
                return
            }
            val length = head.firstNotNullOfOrNull { LENGTH.matchEntire(it)?.groupValues?.get(1)?.toInt() } ?: return
            repeat(length) { if (reader.read() < 0) return }
            unanswered -= identifier
            answers[identifier] = head.first()
            if (head.any { it.equals("connection: close", ignoreCase = true) }) return
        }
    }

    private fun request(identifier: String): ByteArray =
        "GET /s/1 HTTP/1.1\r\nhost: ${endpoint.host}\r\n${UpstreamFixture.Names.requestIdentifier}: $identifier\r\n\r\n"
            .encodeToByteArray()

    private companion object {
        val JOIN_TIMEOUT = 20.seconds
        val LENGTH = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE)
    }
}
