package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isLessThan
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Upstreams that send bytes without end. */
internal class EndlessAnswerTest {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val written = AtomicLong()
    private val closed = CountDownLatch(1)
    private val client = UpstreamClient(Endpoint("127.0.0.1", server.localPort), isEngine = true)

    init {
        thread(isDaemon = true) { answer() }
    }

    @AfterEach
    fun close() {
        client.close()
        server.close()
    }

    private fun answer() {
        try {
            server.accept().use(::writeWithoutEnd)
        } catch (_: IOException) {
            // The caller has closed its connection, or the test has ended.
        } finally {
            closed.countDown()
        }
    }

    /** Writes a body until the caller closes, or has taken so much that there is no limit. */
    private fun writeWithoutEnd(socket: Socket) {
        val output = socket.getOutputStream()
        output.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".encodeToByteArray())
        val chunk = "2000\r\n".encodeToByteArray() + ByteArray(CHUNK_BYTES) + "\r\n".encodeToByteArray()
        while (written.get() < UNLIMITED_BYTES) {
            output.write(chunk)
            written.addAndGet(chunk.size.toLong())
        }
    }

    private fun expectClosedEarly() {
        closed.await(30, TimeUnit.SECONDS)
        expectThat(written.get()).isLessThan(CLOSED_WITHIN_BYTES)
    }

    /** Guards against an answer to an order that fills the memory until the order's time of two minutes is over. */
    @Test
    fun `an endless answer to an order is broken off`() {
        runBlocking { client.postJson("/orders", "{}") }
        expectClosedEarly()
    }

    /** Guards against a report that fills the memory until the time of a probe is over. */
    @Test
    fun `an endless report is broken off`() {
        runBlocking { client.get("/load") }
        expectClosedEarly()
    }

    /** Guards against an answer to a health check that fills the memory until the time of a probe is over. */
    @Test
    fun `an endless answer to a health check is broken off`() {
        runBlocking { client.getOnNewConnection("/health") }
        expectClosedEarly()
    }

    /** Guards against an event of endlessly many short lines, which no limit of a line ends. */
    @Test
    fun `an event of endlessly many lines is refused`() {
        val parser = EventStreamParser(maximumEvent = 1_024)
        expectThrows<IOException> {
            repeat(1_024) { parser.accept("data: x\n".encodeToByteArray()) }
        }
    }

    private companion object {
        const val CHUNK_BYTES = 0x2000

        /** The limit of a megabyte, and what the buffers of both sockets hold. */
        const val CLOSED_WITHIN_BYTES = 16L shl 20
        const val UNLIMITED_BYTES = 64L shl 20
    }
}
