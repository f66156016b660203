package org.zinniahoist.policy.duty

import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.WorkspaceName
import java.util.TreeMap

/**
 * Sums the counts that entries report to the leader of one term.
 *
 * The counts of an incarnation only grow, so the larger one of two reports is the newer one: repeats and reports that
 * arrive out of order do no harm. Thread-safe, because calls of entries arrive on the threads of their links.
 */
public class UsageAggregator {
    private val byIncarnation = HashMap<Incarnation, TreeMap<Long, Map<WorkspaceName, Long>>>()
    private var term = 0L

    /** Adds the [windows] that [incarnation] reported to the leader of [term], except those up to [closed]. */
    @Synchronized
    public fun onReport(
        term: Long,
        incarnation: Incarnation,
        windows: WindowCounts,
        closed: Long?,
    ) {
        lead(term)
        if (term < this.term) return
        val known = byIncarnation.computeIfAbsent(incarnation) { TreeMap() }
        for ((window, counts) in windows) {
            if (closed != null && window <= closed) continue
            known.merge(window, counts, ::largerOf)
        }
        while (known.size > MAXIMUM_WINDOWS) known.pollFirstEntry()
        if (known.isEmpty()) byIncarnation -= incarnation
    }

    /** Forgets the reports to leaders of earlier terms than [term], which may be incomplete by now. */
    @Synchronized
    public fun lead(term: Long) {
        if (term <= this.term) return
        this.term = term
        byIncarnation.clear()
    }

    /** Returns the requests of [window] by workspace. */
    @Synchronized
    public fun counts(window: Long): Map<WorkspaceName, Long> {
        val sums = HashMap<WorkspaceName, Long>()
        for (windows in byIncarnation.values) {
            windows[window]?.forEach { (workspace, count) -> sums.merge(workspace, count, Long::plus) }
        }
        return sums
    }

    /** Returns the oldest window with counts, or null. */
    @Synchronized
    public fun oldestWindow(): Long? = byIncarnation.values.mapNotNull { it.firstEntry()?.key }.minOrNull()

    /** Forgets the windows up to [closed]. */
    @Synchronized
    public fun forget(closed: Long) {
        byIncarnation.values.forEach { it.headMap(closed, true).clear() }
        byIncarnation.values.removeIf { it.isEmpty() }
    }

    private fun largerOf(one: Map<WorkspaceName, Long>, other: Map<WorkspaceName, Long>): Map<WorkspaceName, Long> =
        (one.keys + other.keys).associateWith { maxOf(one[it] ?: 0, other[it] ?: 0) }

    private companion object {
        /** Exceeds the windows that an entry keeps; bounds the memory if windows are not closed. */
        const val MAXIMUM_WINDOWS = 100
    }
}
