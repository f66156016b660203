package org.zinniahoist.gateway.entry

import org.zinniahoist.gateway.upstream.HeapBudget
import org.zinniahoist.gateway.upstream.ResponseMemory

/**
 * Budgets of an entry for the bodies of requests and responses, as shares of a heap of [heapBytes].
 *
 * A response counts twice, because it is in memory twice while its chunks are concatenated.
 */
internal class EntryMemory(heapBytes: Long) {
    private val heap = HeapBudget(heapBytes / 4 * 3)
    val requests = BodyBudget(heapBytes / 2, heap)
    val responses = ResponseMemory(heapBytes / 4, heap)
}
