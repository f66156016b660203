package org.zinniahoist.gateway.dialect

import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.PackedResults
import org.zinniahoist.wire.ServiceReply

/** Pages of results of a job, as their readers get them. */
internal class ResultPages(private val dialect: PlatformDialect) {
    /** Encodes the first of the [results] from position [after] on, one at least, as far as a page holds them. */
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

    /** Encodes what the leader has sent. */
    fun page(results: ServiceReply.Results): ByteArray {
        val packed = StateCodec.decode<List<PackedResults>>(results.content)
        return page(results.total, results.after, packed.asSequence().flatMap { it.whole() })
    }

    private companion object {
        /** Below the megabyte that a reader accepts, with room for the names of fields. */
        const val PAGE_BYTES = 900_000
    }
}
