package org.zinniahoist.wire

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.toJavaAddress
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Moment
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import java.net.InetSocketAddress as JavaAddress

/** Accepts links on [bind]. Port 0 takes a free port. */
public class LinkServer(
    private val bind: Endpoint,
    hello: LinkMessage.Hello,
    handler: LinkHandler,
    heartbeat: () -> HeartbeatContent,
    clock: () -> Moment,
    private val limits: LinkLimits = LinkLimits(),
) : AutoCloseable {
    private val end = LinkEnd(hello, handler, heartbeat, clock, limits)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val sessions = ConcurrentHashMap.newKeySet<LinkSession>()
    private var server: ServerSocket? = null

    @Volatile
    private var stopReason: String? = null

    /** Binds the port and starts to accept. Returns the address that is bound. */
    public suspend fun start(): Endpoint {
        val bound = aSocket(Sockets.selector).tcp().bind(bind.host, bind.port) { reuseAddress = true }
        server = bound
        scope.launch { acceptAll(bound) }
        return Endpoint(bind.host, (bound.localAddress.toJavaAddress() as JavaAddress).port)
    }

    /**
     * Stops to accept and closes the open links with [reason]. Returns when their handlers have been told, or when the
     * times to open and to close a link have passed: a handler that does not return must not keep a process alive.
     */
    public suspend fun stop(reason: String) {
        stopReason = reason
        server?.close()
        sessions.forEach { it.close(reason) }
        withTimeoutOrNull(limits.openTimeout + limits.closeTimeout * 2) {
            while (sessions.isNotEmpty()) delay(STOP_CHECK)
        } ?: logger.warn { "event=links-left-open links=${sessions.size}" }
        scope.cancel()
    }

    /** Stops at once and breaks the open links. */
    override fun close() {
        server?.close()
        scope.cancel()
    }

    private suspend fun acceptAll(bound: ServerSocket) {
        while (!bound.isClosed) {
            try {
                val socket = bound.accept()
                scope.launch { serve(socket) }
            } catch (fault: IOException) {
                if (bound.isClosed) return
                logger.warn { "event=accept-failed detail=\"${fault.message}\"" }
                delay(ACCEPT_PAUSE)
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        val session = LinkSession(FrameChannel(socket, limits.maximumFrameBytes), end)
        sessions += session
        // A connection that was accepted while the server stops is not among those that were told.
        stopReason?.let(session::close)
        try {
            session.run()
        } finally {
            sessions -= session
            socket.close()
        }
    }

    private val ServerSocket.isClosed: Boolean get() = !socketContext.isActive

    private companion object {
        val logger = KotlinLogging.logger {}
        val STOP_CHECK = 10.milliseconds

        /** Keeps a process that is out of file descriptors from accepting in a busy loop. */
        val ACCEPT_PAUSE = 100.milliseconds
    }
}

/** The selector that all links of a process share. */
internal object Sockets {
    val selector: SelectorManager by lazy { SelectorManager(Dispatchers.IO) }

    suspend fun connect(endpoint: Endpoint): Socket =
        aSocket(selector).tcp().connect(InetSocketAddress(endpoint.host, endpoint.port)) { noDelay = true }
}
