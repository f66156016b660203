package org.zinniahoist.standin.http

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.URI

/** HTTP server on a loopback port that keeps its port over a crash and a restart, until it is closed. */
internal class StandInServer(private val routes: (ServerBuilder) -> Unit) : AutoCloseable {
    private val connections = ConnectionControl()
    private var server: Server? = null

    // Bound without listening: the kernel refuses connections to the port and assigns it to no other socket. With
    // SO_REUSEADDR on both sockets the server can listen on it at the same time.
    private var reservation: Socket? = null

    /** Port of the server, 0 before the first start. */
    @Volatile
    var port: Int = 0
        private set

    val address: URI get() = URI("http://127.0.0.1:$port")

    /** Starts listening, on an ephemeral port the first time and on the same port afterwards. */
    @Synchronized
    fun start() {
        check(server == null) { "the server is already started" }
        connections.acceptAll()
        if (reservation == null) reservation = reserve()
        val started = build()
        started.start().join()
        server = started
    }

    /** Resets all connections, and each new one until the next start. */
    fun resetAll() = connections.resetAll()

    fun silenceOpenConnections() = connections.silenceOpen()

    /** Resets the connection of the request of [context]. */
    fun resetConnection(context: ServiceRequestContext) {
        context
            .log()
            .partial()
            .channel()
            ?.let { connections.reset(it) }
    }

    /**
     * Resets all connections, because draining them delays each stop by a second or more, and stops listening. The port
     * stays reserved.
     */
    @Synchronized
    fun stop() {
        connections.resetAll()
        // The future of stop() completes after a fixed quiet period of 2 s; the port is closed at once.
        server?.stop() ?: return
        server = null
        while (accepts()) Thread.sleep(1)
    }

    /** Stops listening and releases the port. */
    @Synchronized
    override fun close() {
        stop()
        reservation?.close()
        reservation = null
    }

    private fun reserve(): Socket {
        val socket = Socket()
        socket.reuseAddress = true
        socket.bind(InetSocketAddress("127.0.0.1", port))
        port = socket.localPort
        return socket
    }

    private fun accepts(): Boolean = try {
        Socket("127.0.0.1", port).use { true }
    } catch (_: IOException) {
        false
    }

    private fun build(): Server {
        val builder =
            Server
                .builder()
                .http(InetSocketAddress("127.0.0.1", port))
                .requestTimeoutMillis(0)
                .idleTimeoutMillis(0)
                .maxRequestLength(MAXIMUM_REQUEST_BYTES)
                .gracefulShutdownTimeoutMillis(0, 0)
                .connectionDrainDurationMicros(0)
                .childChannelPipelineCustomizer { pipeline -> pipeline.addFirst(connections.newGate()) }
        routes(builder)
        builder.serviceUnder("/") { _, _ -> HttpResponse.of(HttpStatus.NOT_FOUND) }
        return builder.build()
    }

    private companion object {
        private const val MAXIMUM_REQUEST_BYTES = 16L * 1_024 * 1_024
    }
}
