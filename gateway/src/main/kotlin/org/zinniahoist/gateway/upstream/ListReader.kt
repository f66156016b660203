package org.zinniahoist.gateway.upstream

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import org.zinniahoist.gateway.dialect.ListPage
import org.zinniahoist.gateway.dialect.OutboundPaths
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import kotlin.time.Duration.Companion.milliseconds

/** Reads the platform's list of upstreams. */
internal class ListReader(
    private val paths: OutboundPaths,
    private val decode: (ByteArray) -> ListPage?,
    private val calls: UpstreamCalls,
    private val endpoint: Endpoint,
) {
    /**
     * Reads the list and hands it to [use]. A failure of either is logged and ends nothing: a list that can't be read
     * or used must not be the last one that is asked for.
     */
    suspend fun readGuarded(use: (List<ListedUpstream>) -> Unit): Unit = try {
        read()?.let { use(it.distinctBy(ListedUpstream::identity)) } ?: Unit
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (fault: Exception) {
        logger.error(fault) { "event=list-reading-failed" }
    } catch (fault: StackOverflowError) {
        logger.error(fault) { "event=list-reading-failed" }
    }

    /** Returns all entries, or null if a page can't be had: half a list would look as if upstreams were gone. */
    suspend fun read(): List<ListedUpstream>? {
        val entries = ArrayList<ListedUpstream>()
        var token: String? = null
        var bytesLeft = LIST_BYTES
        repeat(MAXIMUM_PAGES) {
            val body = body(token, bytesLeft)
            val page = body?.let(::pageOf) ?: return null
            bytesLeft -= body.size
            entries += page.entries
            if (page.unreadable > 0) logger.warn { "event=list-entries-unreadable count=${page.unreadable}" }
            token = page.nextToken ?: return entries
        }
        logger.warn { "event=list-too-long pages=$MAXIMUM_PAGES" }
        return null
    }

    /** Returns the page that follows [token], or null if it can't be had or has more than [bytesLeft]. */
    private suspend fun body(token: String?, bytesLeft: Long): ByteArray? {
        val limits = AnswerLimits(minOf(bytesLeft, AnswerLimits.CALL.bodyBytes))
        val answer = calls.get(endpoint, paths.list(token), PAGE_TIMEOUT, limits)
        if (answer?.status == OK) return answer.body
        logger.info { "event=list-not-read status=${answer?.status}" }
        return null
    }

    private fun pageOf(body: ByteArray): ListPage? {
        val page = decode(body)
        if (page == null) logger.info { "event=list-not-read status=$OK bytes=${body.size}" }
        return page
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val OK = 200

        /** Bounds the reading of a list whose tokens lead in a circle. */
        const val MAXIMUM_PAGES = 1_000

        /** Bytes of all pages of a reading. Tens of thousands of entries have as many. */
        const val LIST_BYTES = 16L shl 20
        val PAGE_TIMEOUT = 800.milliseconds
    }
}
