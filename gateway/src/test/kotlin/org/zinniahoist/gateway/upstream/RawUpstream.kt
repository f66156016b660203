package org.zinniahoist.gateway.upstream

import org.zinniahoist.model.Endpoint
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration

/** Runs an upstream on loopback that responds to each request with the raw bytes that [answer] writes. */
internal class RawUpstream(private val answer: RawAnswer.() -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentLinkedQueue<Socket>()
    private val closed = CountDownLatch(1)
    private val count = AtomicInteger()
    private val received = AtomicInteger()
    private val bytes = AtomicLong()

    val endpoint = Endpoint("127.0.0.1", server.localPort)

    /** Number of accepted connections. */
    val connections: Int get() = count.get()

    /** Number of requests whose headers arrived. */
    val requests: Int get() = received.get()

    /** Number of bytes written to callers, including those still in socket buffers. */
    val written: Long get() = bytes.get()

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Waits for a caller to close its connection. Returns false if none does within [timeout]. */
    fun awaitClose(timeout: Duration): Boolean = closed.await(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun accept() {
        try {
            while (true) {
                val socket = server.accept()
                count.incrementAndGet()
                sockets += socket
                thread(isDaemon = true) { serve(socket) }
            }
        } catch (_: IOException) {
            // The test has closed the server.
        }
    }

    private fun serve(socket: Socket) {
        try {
            socket.sendBufferSize = BUFFER_BYTES
            while (readHead(socket)) {
                received.incrementAndGet()
                RawAnswer(socket, bytes).answer()
            }
        } catch (_: IOException) {
            // The caller has closed the connection while bytes were in transit.
        } finally {
            socket.close()
            closed.countDown()
        }
    }

    /** Reads up to the end of the request headers; returns false on a close. Skips the body of the previous request. */
    private fun readHead(socket: Socket): Boolean {
        var matched = 0
        while (matched < HEAD_END.length) {
            val byte = socket.getInputStream().read()
            if (byte < 0) return false
            matched = if (byte == HEAD_END[matched].code) {
                matched + 1
            } else if (byte == '\r'.code) {
                1
            } else {
                0
            }
        }
        return true
    }

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 64 * 1024
        const val HEAD_END = "\r\n\r\n"
    }
}

/**
 * Returns an upstream that answers the first request with [first] and the others with [next]. A faulty one, it sends
 * [first] once more before [next] if a request follows on the connection of the first one.
 */
internal fun repeatingUpstream(first: String, next: String): RawUpstream {
    lateinit var upstream: RawUpstream
    upstream = RawUpstream {
        val isFirst = upstream.requests == 1
        if (isFirst || upstream.connections == 1) text(first)
        if (!isFirst) text(next)
    }
    return upstream
}

/** Writes the answer to one request. */
internal class RawAnswer(
    private val socket: Socket,
    private val bytes: AtomicLong,
) {
    fun text(text: String) = write(text.encodeToByteArray())

    /** Closes the connection gracefully. */
    fun close() = socket.close()

    /** Resets the connection. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Writes generated chunks until the caller closes the connection, at most [MAXIMUM_BYTES] bytes. */
    fun writeEndlessly(chunk: (Long) -> String) {
        var number = 0L
        // A caller that reads this many bytes enforces no limit; the test proves that without exhausting the heap.
        while (bytes.get() < MAXIMUM_BYTES) {
            val batch = StringBuilder()
            while (batch.length < BATCH_LENGTH) batch.append(chunk(++number))
            text(batch.toString())
        }
    }

    private fun write(chunk: ByteArray) {
        socket.getOutputStream().write(chunk)
        bytes.addAndGet(chunk.size.toLong())
    }

    companion object {
        const val MAXIMUM_BYTES = 96L shl 20
        private const val BATCH_LENGTH = 16 * 1024
    }
}
