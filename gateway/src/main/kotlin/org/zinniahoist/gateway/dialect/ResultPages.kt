package org.zinniahoist.gateway.dialect

import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.PackedResults
import org.zinniahoist.wire.ServiceReply

/** Encodes the results of a job into pages for its readers. */
internal class ResultPages(private val dialect: PlatformDialect) {
    /** Encodes as many of the [results] from position [after] on as fit into one page, and at least one. */
    fun page(total: Int, after: Int, results: Sequence<ItemResult>): ByteArray {
        val page = ArrayList<ItemResult>()
        var bytes = 0
        for (result in results) {
            bytes += dialect.sizeOf(result)
            if (page.isNotEmpty() && bytes > PAGE_BYTES) break
            page += result
        }
        return dialect.jobPage(total, after, page)
    }

    /** Encodes one page from the packed results that the leader has sent. */
    fun page(results: ServiceReply.Results): ByteArray {
        val packed = StateCodec.decode<List<PackedResults>>(results.content)
        return page(results.total, results.after, packed.asSequence().flatMap { it.whole() })
    }

    private companion object {
        /** Less than the 1 MB that a reader accepts, to leave room for field names. */
        const val PAGE_BYTES = 900_000
    }
}
