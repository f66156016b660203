package org.zinniahoist.consensus

/** Terms of the stored entries, as runs of equal terms. */
internal class StoredTerms(
    private var baseIndex: Long,
    baseTerm: Long,
    entries: List<LogEntry>,
) {
    private val runs = ArrayDeque<Run>()
    private var lastIndex = baseIndex

    init {
        runs += Run(baseIndex, baseTerm)
        append(entries)
    }

    fun append(entries: List<LogEntry>) {
        for (entry in entries) {
            if (entry.index <= baseIndex) continue
            if (entry.index <= lastIndex) while (runs.last().firstIndex >= entry.index) runs.removeLast()
            if (runs.last().term != entry.term) runs += Run(entry.index, entry.term)
            lastIndex = entry.index
        }
    }

    /**
     * Moves the base to the entry at [index]. Returns false, and forgets all entries, if the stored log has no entry
     * there with [term].
     */
    fun advance(index: Long, term: Long): Boolean {
        val contained = index <= lastIndex && runs.last { it.firstIndex <= index }.term == term
        val later = if (contained) runs.filter { it.firstIndex > index } else emptyList()
        baseIndex = index
        if (!contained) lastIndex = index
        runs.clear()
        runs += Run(index, term)
        runs += later
        return contained
    }

    private class Run(
        val firstIndex: Long,
        val term: Long,
    )
}
