package org.zinniahoist.gateway.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How an entry treats incoming requests. */
internal enum class EntryPhase {
    /** Serves requests on keep-alive connections. */
    SERVING,

    /** Serves requests that can finish before the shutdown, and closes each connection after its response. */
    DRAINING,

    /** Refuses requests and closes their connections. */
    REFUSING,
}

/**
 * Shuts [http] down gracefully, so that no connection closes between a request and its response. Once the platform has
 * taken the entry out of rotation, the entry refuses new requests and drains those in flight. Shortly before the end of
 * the grace period, it refuses the remaining requests that were not dispatched and responds to the others with an
 * unknown outcome.
 */
internal class EntryShutdown(
    private val http: EntryHttp,
    private val grace: Duration,
    private val clock: () -> Moment,
) {
    /** Drains the requests in flight. Returns when all connections may be closed. */
    suspend fun drain() {
        val end = clock() + grace - STOP_RESERVE
        http.serviceEnd = end
        http.phase = EntryPhase.DRAINING
        delay(minOf(ROTATION_DELAY, grace - STOP_RESERVE))
        http.phase = EntryPhase.REFUSING
        logger.info { "event=refusing in-flight=${http.requestsInFlight}" }
        awaitIdle(end)
        if (http.requestsInFlight == 0) return
        logger.warn { "event=requests-outlast-grace in-flight=${http.requestsInFlight}" }
        http.completePendingRequests()
        awaitIdle(end + RESPONSE_WRITE_TIME)
    }

    private suspend fun awaitIdle(end: Moment) {
        while (http.requestsInFlight > 0 && clock() < end) delay(IDLE_CHECK_INTERVAL)
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** The platform probes readiness each second and opens no new connections after two failures. */
        val ROTATION_DELAY = 3.seconds
        val IDLE_CHECK_INTERVAL = 20.milliseconds

        /** Part of the grace period that is reserved for stopping the process. */
        val STOP_RESERVE = 900.milliseconds

        /** Part of [STOP_RESERVE] for writing the responses to requests that outlast the grace period. */
        val RESPONSE_WRITE_TIME = 300.milliseconds
    }
}
