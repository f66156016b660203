package org.zinniahoist.gateway.upstream

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import kotlin.time.Duration.Companion.milliseconds

/** Reads the platform's list of upstreams. */
internal class ListReader(
    private val dialect: PlatformDialect,
    private val calls: UpstreamCalls,
    private val endpoint: Endpoint,
) {
    /** Returns all entries, or null if a page can't be had: half a list would look as if upstreams were gone. */
    suspend fun read(): List<ListedUpstream>? {
        val entries = ArrayList<ListedUpstream>()
        var token: String? = null
        repeat(MAXIMUM_PAGES) {
            val page = page(token) ?: return null
            entries += page.entries
            if (page.unreadable > 0) logger.warn { "event=list-entries-unreadable count=${page.unreadable}" }
            token = page.nextToken ?: return entries
        }
        logger.warn { "event=list-too-long pages=$MAXIMUM_PAGES" }
        return null
    }

    private suspend fun page(token: String?) =
        calls.get(endpoint, dialect.paths.list(token), PAGE_TIMEOUT).let { answer ->
            val page = answer?.takeIf { it.status().code() == OK }?.let { dialect.listPage(it.content().array()) }
            if (page == null) logger.info { "event=list-not-read status=${answer?.status()?.code()}" }
            page
        }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val OK = 200

        /** Bounds the reading of a list whose tokens lead in a circle. */
        const val MAXIMUM_PAGES = 1_000
        val PAGE_TIMEOUT = 800.milliseconds
    }
}
