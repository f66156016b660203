package org.zinniahoist.gateway.boundary

import org.zinniahoist.model.Endpoint
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

/** Reads requests with [StrictMessages], records them, and answers each with a success. */
internal class StrictUpstream : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val endpoint = Endpoint("127.0.0.1", server.localPort)

    /** All requests that have run, in any order. */
    val received = ConcurrentLinkedQueue<WireRequest>()

    /** Bytes at the end of connections that are no whole request. */
    val malformed = ConcurrentLinkedQueue<String>()

    init {
        thread(isDaemon = true) { accept() }
    }

    private fun accept() {
        try {
            while (true) server.accept().let { thread(isDaemon = true) { serve(it) } }
        } catch (_: IOException) {
            // The test has closed the server.
        }
    }

    private fun serve(socket: Socket) = socket.use {
        val text = StringBuilder()
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = try {
                socket.getInputStream().read(buffer)
            } catch (_: IOException) {
                -1
            }
            if (count < 0) break
            text.append(String(buffer, 0, count, Charsets.ISO_8859_1))
            val messages = StrictMessages(text.toString())
            for (request in messages.readAll()) answer(socket, request)
            text.delete(0, messages.consumed)
        }
        if (text.isNotEmpty()) malformed += text.toString()
    }

    private fun answer(socket: Socket, request: WireRequest) {
        received += request
        val identifier = request.fields["x-request"]?.firstOrNull()?.let { "x-request: $it\r\n" }.orEmpty()
        val head = "HTTP/1.1 200 OK\r\n${identifier}x-stamp: s\r\ncontent-length: 0\r\n\r\n"
        try {
            socket.getOutputStream().write(head.toByteArray(Charsets.ISO_8859_1))
        } catch (_: IOException) {
            // The caller has given up.
        }
    }

    override fun close(): Unit = server.close()

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 65_536
    }
}
