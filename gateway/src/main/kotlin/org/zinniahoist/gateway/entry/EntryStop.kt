package org.zinniahoist.gateway.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How an entry treats the requests that arrive. */
internal enum class EntryPhase {
    /** Requests are served on connections that are kept. */
    SERVING,

    /** Requests are served if they can end in time, and their connections close with the answer. */
    LEAVING,

    /** Requests are refused, and their connections close with the refusal. */
    REFUSING,
}

/**
 * Ends the service of [http] so that no connection closes between a request and its answer: from the time at which new
 * connections go elsewhere, requests are refused, and the connections close once those before have their answers.
 * What has no answer shortly before the grace is over is answered as not run, or with an unknown outcome.
 */
internal class EntryStop(
    private val http: EntryHttp,
    private val grace: Duration,
    private val clock: () -> Moment,
) {
    /** Returns when all connections may be closed. */
    suspend fun awaitEnd() {
        val end = clock() + grace - RESERVE
        http.serviceEnd = end
        http.phase = EntryPhase.LEAVING
        delay(minOf(OUT_OF_ROTATION, grace - RESERVE))
        http.phase = EntryPhase.REFUSING
        logger.info { "event=refusing in-flight=${http.requestsInFlight}" }
        awaitQuiet(end)
        if (http.requestsInFlight == 0) return
        logger.warn { "event=requests-outlast-grace in-flight=${http.requestsInFlight}" }
        http.answerOpenRequests()
        awaitQuiet(end + ANSWER_TIME)
    }

    private suspend fun awaitQuiet(end: Moment) {
        while (http.requestsInFlight > 0 && clock() < end) delay(QUIET_CHECK)
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** The platform asks each second, and sends no new connection after two misses. */
        val OUT_OF_ROTATION = 3.seconds
        val QUIET_CHECK = 20.milliseconds

        /** Left for the end of the process itself. */
        val RESERVE = 900.milliseconds

        /** The part of [RESERVE] in which the answers to requests that outlast the grace are written. */
        val ANSWER_TIME = 300.milliseconds
    }
}
