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

/** Maintains one link to [endpoint], reconnecting with back-off and jitter until it is stopped. */
public class LinkClient(
    private val endpoint: Endpoint,
    hello: LinkMessage.Hello,
    private val handler: LinkHandler,
    heartbeat: () -> HeartbeatContent,
    clock: () -> Moment,
    private val random: Random,
    private val limits: LinkLimits = LinkLimits(),
) : AutoCloseable {
    private val context = LinkContext(hello, handler, heartbeat, clock, limits)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private var connectionJob: Job? = null

    @Volatile
    private var session: LinkSession? = null

    @Volatile
    private var stopped = false

    /** Starts connecting in the background. */
    public fun start() {
        connectionJob = scope.launch { maintainLink() }
    }

    /**
     * Closes the link with [reason] and stops reconnecting. Returns when the handler has returned from `onClosed`, or
     * after twice the close timeout.
     */
    public suspend fun stop(reason: String) {
        stopped = true
        session?.close(reason)
        withTimeoutOrNull(limits.closeTimeout * 2) { connectionJob?.join() }
        scope.cancel()
    }

    /** Stops immediately and aborts the link without a `Goodbye`. */
    override fun close() {
        stopped = true
        scope.cancel()
    }

    private suspend fun maintainLink() {
        var backoff = limits.firstBackoff
        while (!stopped) {
            val wasOpen = try {
                runSession()
            } catch (fault: Exception) {
                // A closed socket can surface as a CancellationException; only cancelling this coroutine ends the loop.
                currentCoroutineContext().ensureActive()
                logger.warn { "event=link-failed peer=$endpoint detail=\"$fault\"" }
                false
            }
            backoff = if (wasOpen) limits.firstBackoff else minOf(backoff * 2, limits.maximumBackoff)
            if (!stopped) delay(withJitter(backoff))
        }
    }

    private suspend fun runSession(): Boolean {
        val socket = connect() ?: return false
        val opened = LinkSession(FrameChannel(socket, limits.maximumFrameBytes), context)
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

    /** Returns 50% to 100% of [backoff], so that the peers of a restarted daemon do not reconnect simultaneously. */
    private fun withJitter(backoff: Duration): Duration = backoff * (0.5 + random.nextDouble() / 2)

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
