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

/** An upstream on the loopback that answers each request with the bytes that [answer] writes, whatever they are. */
internal class RawUpstream(private val answer: RawAnswer.() -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentLinkedQueue<Socket>()
    private val closed = CountDownLatch(1)
    private val count = AtomicInteger()
    private val bytes = AtomicLong()

    val endpoint = Endpoint("127.0.0.1", server.localPort)

    /** Connections that were accepted. */
    val connections: Int get() = count.get()

    /** Bytes that callers have taken, with those in the buffers of the sockets. */
    val written: Long get() = bytes.get()

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Returns true if a caller closes its connection within [bound]. */
    fun awaitClose(bound: Duration): Boolean = closed.await(bound.inWholeMilliseconds, TimeUnit.MILLISECONDS)

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
            while (readHead(socket)) RawAnswer(socket, bytes).answer()
        } catch (_: IOException) {
            // The caller has closed the connection while bytes were on their way.
        } finally {
            socket.close()
            closed.countDown()
        }
    }

    /** Returns false if the caller has closed the connection. The body of a request is read with the next head. */
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

/** Writes the answer to one request. */
internal class RawAnswer(
    private val socket: Socket,
    private val bytes: AtomicLong,
) {
    fun text(text: String) = write(text.encodeToByteArray())

    /** Closes the connection in order. */
    fun close() = socket.close()

    /** Resets the connection. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Writes pieces until the caller closes the connection. */
    fun withoutEnd(piece: (Long) -> String) {
        var number = 0L
        // A caller that takes this many bytes is without a bound, and the test need not fill the memory to show it.
        while (bytes.get() < MOST_BYTES) {
            val batch = StringBuilder()
            while (batch.length < BATCH_LENGTH) batch.append(piece(++number))
            text(batch.toString())
        }
    }

    private fun write(piece: ByteArray) {
        socket.getOutputStream().write(piece)
        bytes.addAndGet(piece.size.toLong())
    }

    companion object {
        const val MOST_BYTES = 96L shl 20
        private const val BATCH_LENGTH = 16 * 1024
    }
}
