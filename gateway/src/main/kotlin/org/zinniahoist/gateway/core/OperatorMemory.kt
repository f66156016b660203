package org.zinniahoist.gateway.core

import org.zinniahoist.gateway.entry.BodyBudget
import org.zinniahoist.gateway.upstream.HeapBudget
import org.zinniahoist.gateway.upstream.ResponseMemory

/**
 * Budgets of a core for the bodies of calls of operators and of their responses, as shares of a heap of [heapBytes].
 *
 * The rest of the heap is for the replica. A body of the legal size takes half of the budget of the deployment with
 * the least memory, a core with a heap of 258 MB.
 */
internal class OperatorMemory(heapBytes: Long) {
    private val heap = HeapBudget(heapBytes / 4)
    val requests = BodyBudget(heapBytes / 4, heap)
    val responses = ResponseMemory(heapBytes / 8, heap)
}
