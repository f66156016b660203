package org.zinniahoist.consensus

/** Run-length encoded terms of the stored entries. */
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
     * Advances the base to [index]. If the stored log has no entry with this index and [term], discards all entries and
     * returns false.
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
