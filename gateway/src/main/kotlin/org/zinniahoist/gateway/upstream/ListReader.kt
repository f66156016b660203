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
     * Reads the list and passes it to [use]. Logs a failure of either instead of throwing it, so that one list that
     * can't be read or applied does not end the caller's periodic refresh.
     */
    suspend fun readAndApply(use: (List<ListedUpstream>) -> Unit): Unit = try {
        read()?.let { use(it.distinctBy(ListedUpstream::identity)) } ?: Unit
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (fault: Exception) {
        logger.error(fault) { "event=list-reading-failed" }
    } catch (fault: StackOverflowError) {
        logger.error(fault) { "event=list-reading-failed" }
    }

    /** Returns all entries, or null if a page can't be read: a partial list would make upstreams appear removed. */
    suspend fun read(): List<ListedUpstream>? {
        val entries = ArrayList<ListedUpstream>()
        var token: String? = null
        var remainingBytes = MAXIMUM_LIST_BYTES
        repeat(MAXIMUM_PAGES) {
            val body = fetchPage(token, remainingBytes)
            val page = body?.let(::decodePage) ?: return null
            remainingBytes -= body.size
            entries += page.entries
            if (page.unreadable > 0) logger.warn { "event=list-entries-unreadable count=${page.unreadable}" }
            token = page.nextToken ?: return entries
        }
        logger.warn { "event=list-too-long pages=$MAXIMUM_PAGES" }
        return null
    }

    /** Fetches the page that follows [token]. Returns null on a failure or if it exceeds [remainingBytes] bytes. */
    private suspend fun fetchPage(token: String?, remainingBytes: Long): ByteArray? {
        val limits = ResponseLimits(minOf(remainingBytes, ResponseLimits.CALL.bodyBytes))
        val answer = calls.get(endpoint, paths.list(token), PAGE_TIMEOUT, limits)
        if (answer?.status == OK) return answer.body
        logger.info { "event=list-not-read status=${answer?.status}" }
        return null
    }

    private fun decodePage(body: ByteArray): ListPage? {
        val page = decode(body)
        if (page == null) logger.info { "event=list-not-read status=$OK bytes=${body.size}" }
        return page
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val OK = 200

        /** Ends the reading of a list whose page tokens form a cycle. */
        const val MAXIMUM_PAGES = 1_000

        /** Maximum size in bytes of all pages together; enough for tens of thousands of entries. */
        const val MAXIMUM_LIST_BYTES = 16L shl 20
        val PAGE_TIMEOUT = 800.milliseconds
    }
}
