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
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Moment
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import java.net.InetSocketAddress as JavaAddress

/** Accepts links on the address [bind]. Port 0 selects a free port. */
public class LinkServer(
    private val bind: Endpoint,
    hello: LinkMessage.Hello,
    handler: LinkHandler,
    heartbeat: () -> HeartbeatContent,
    private val clock: () -> Moment,
    private val limits: LinkLimits = LinkLimits(),
) : AutoCloseable {
    private val context = LinkContext(hello, handler, heartbeat, clock, limits)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val sessions = ConcurrentHashMap.newKeySet<LinkSession>()
    private var server: ServerSocket? = null

    // Accessed by the accepting coroutine only.
    private var refusedLinks = 0
    private var lastRefusalLine = clock() - REFUSAL_LINE_INTERVAL

    @Volatile
    private var stopReason: String? = null

    /** Binds the address and starts accepting connections. Returns the bound address. */
    public suspend fun start(): Endpoint {
        val bound = aSocket(Sockets.selector).tcp().bind(bind.host, bind.port) { reuseAddress = true }
        server = bound
        scope.launch { acceptConnections(bound) }
        return Endpoint(bind.host, (bound.localAddress.toJavaAddress() as JavaAddress).port)
    }

    /**
     * Stops accepting connections and closes the open links with [reason]. Returns when the handlers of all links have
     * returned from `onClosed`, or after the open timeout plus twice the close timeout, so that a handler that hangs
     * does not block the shutdown of the process.
     */
    public suspend fun stop(reason: String) {
        stopReason = reason
        server?.close()
        sessions.forEach { it.close(reason) }
        withTimeoutOrNull(limits.openTimeout + limits.closeTimeout * 2) {
            while (sessions.isNotEmpty()) delay(STOP_POLL_INTERVAL)
        } ?: logger.warn { "event=links-left-open links=${sessions.size}" }
        scope.cancel()
    }

    /** Stops immediately and aborts the open links without a `Goodbye`. */
    override fun close() {
        server?.close()
        scope.cancel()
    }

    private suspend fun acceptConnections(bound: ServerSocket) {
        while (!bound.isClosed) {
            try {
                val socket = bound.accept()
                if (sessions.size >= limits.maximumLinks) {
                    refuse(socket)
                    continue
                }
                val session = LinkSession(FrameChannel(socket, limits.maximumFrameBytes), context)
                sessions += session
                scope.launch { serve(socket, session) }
            } catch (fault: Exception) {
                // A closed socket surfaces as exceptions of several types; only closing the server ends the loop.
                currentCoroutineContext().ensureActive()
                if (bound.isClosed) return
                logger.warn { "event=accept-failed detail=\"$fault\"" }
                delay(ACCEPT_RETRY_DELAY)
            }
        }
    }

    private fun refuse(socket: Socket) {
        socket.close()
        val now = clock()
        refusedLinks++
        if (now - lastRefusalLine < REFUSAL_LINE_INTERVAL) return
        logger.warn { "event=links-refused count=$refusedLinks maximum=${limits.maximumLinks}" }
        lastRefusalLine = now
        refusedLinks = 0
    }

    private suspend fun serve(socket: Socket, session: LinkSession) {
        // A connection accepted during stop() may be missing from the sessions that stop() closes.
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
        val STOP_POLL_INTERVAL = 10.milliseconds
        val REFUSAL_LINE_INTERVAL = 1.seconds

        /** Prevents a busy loop of failing accepts when the process is out of file descriptors. */
        val ACCEPT_RETRY_DELAY = 100.milliseconds
    }
}

/** Opens sockets on one selector that all links of the process share. */
internal object Sockets {
    val selector: SelectorManager by lazy { SelectorManager(Dispatchers.IO) }

    suspend fun connect(endpoint: Endpoint): Socket =
        aSocket(selector).tcp().connect(InetSocketAddress(endpoint.host, endpoint.port)) { noDelay = true }
}
