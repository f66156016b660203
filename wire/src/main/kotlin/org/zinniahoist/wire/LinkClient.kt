package org.zinniahoist.wire

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Moment
import java.io.IOException
import java.net.ConnectException
import kotlin.random.Random
import kotlin.time.Duration

/** Keeps one link to [endpoint] open until it is closed. */
public class LinkClient(
    private val endpoint: Endpoint,
    hello: LinkMessage.Hello,
    private val handler: LinkHandler,
    heartbeat: () -> HeartbeatContent,
    clock: () -> Moment,
    private val random: Random,
    private val limits: LinkLimits = LinkLimits(),
) : AutoCloseable {
    private val end = LinkEnd(hello, handler, heartbeat, clock, limits)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private var connecting: Job? = null

    @Volatile
    private var session: LinkSession? = null

    @Volatile
    private var stopped = false

    /** Starts to connect. */
    public fun start() {
        connecting = scope.launch { keepOpen() }
    }

    /** Closes the link with [reason] and does not open it again. Returns when the handler has been told. */
    public suspend fun stop(reason: String) {
        stopped = true
        session?.close(reason)
        withTimeoutOrNull(limits.closeTimeout * 2) { connecting?.join() }
        scope.cancel()
    }

    /** Stops at once and breaks the link. */
    override fun close() {
        stopped = true
        scope.cancel()
    }

    private suspend fun keepOpen() {
        var backoff = limits.firstBackoff
        while (!stopped) {
            val wasOpen = try {
                connectOnce()
            } catch (fault: Exception) {
                // A closed socket can show as a cancellation; only that of this coroutine ends the loop.
                currentCoroutineContext().ensureActive()
                logger.warn { "event=link-failed peer=$endpoint detail=\"$fault\"" }
                false
            }
            backoff = if (wasOpen) limits.firstBackoff else minOf(backoff * 2, limits.maximumBackoff)
            if (!stopped) delay(jittered(backoff))
        }
    }

    private suspend fun connectOnce(): Boolean {
        val socket = connect() ?: return false
        val opened = LinkSession(FrameChannel(socket, limits.maximumFrameBytes), end)
        session = opened
        if (stopped) opened.close("stopped")
        return try {
            opened.run()
        } finally {
            session = null
            socket.close()
        }
    }

    private suspend fun connect(): Socket? = try {
        withTimeoutOrNull(limits.connectTimeout) { Sockets.connect(endpoint) }
    } catch (fault: ConnectException) {
        logger.debug { "event=connect-refused peer=$endpoint detail=\"${fault.message}\"" }
        handler.onRefused()
        null
    } catch (fault: IOException) {
        logger.debug { "event=connect-failed peer=$endpoint detail=\"${fault.message}\"" }
        null
    }

    /** Half to all of [backoff], so that the peers of a restarted daemon do not come back together. */
    private fun jittered(backoff: Duration): Duration = backoff * (0.5 + random.nextDouble() / 2)

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
