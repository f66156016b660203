package org.zinniahoist.consensus

/**
 * In-memory log of one replica: the entries after [baseIndex], and how far they are durable.
 *
 * Some entries before the snapshot are retained, so that slightly lagging replicas need no snapshot.
 */
internal class ReplicaLog(recovered: RecoveredState) {
    var snapshot: Snapshot? = recovered.snapshot
        private set
    var baseIndex: Long = snapshot?.index ?: 0
        private set
    private var baseTerm: Long = snapshot?.term ?: 0
    private var baseTime: Long = snapshot?.timeMilliseconds ?: 0
    private val entries = ArrayList(recovered.entries)

    /** Bytes of the commands in memory. */
    var commandBytes: Long = entries.sumOf { it.commandBytes }
        private set
    private val configurations = ArrayDeque<Pair<Long, Configuration>>()

    /** Index of the last entry that is synced on this replica. */
    var persistedIndex: Long = baseIndex + entries.size
        private set
    private var submittedIndex = persistedIndex
    private var truncateFrom: Long? = null
    private var unsavedSnapshot: Snapshot? = null
    private val pending = ArrayDeque<PendingPersist>()

    init {
        resetConfigurations()
    }

    val size: Int get() = entries.size
    val lastIndex: Long get() = baseIndex + entries.size
    val snapshotBytes: Long get() = snapshot?.data?.size?.toLong() ?: 0
    val lastTerm: Long get() = entries.lastOrNull()?.term ?: baseTerm
    val lastTime: Long get() = entries.lastOrNull()?.timeMilliseconds ?: baseTime
    val configuration: Configuration get() = configurations.last().second
    val configurationIndex: Long get() = configurations.last().first

    operator fun get(index: Long): LogEntry = entries[(index - baseIndex - 1).toInt()]

    /** Returns the term of the entry at [index], or null if the log doesn't hold that entry. */
    fun term(index: Long): Long? = when {
        index == baseIndex -> baseTerm
        index < baseIndex || index > lastIndex -> null
        else -> this[index].term
    }

    /** Returns the configuration in force at [index], and the index of an entry at which it was in force as well. */
    fun positionedConfigurationAt(index: Long): PositionedConfiguration =
        configurations.last { it.first <= index }.let { (position, value) -> PositionedConfiguration(position, value) }

    fun configurationAt(index: Long): Configuration = configurations.last { it.first <= index }.second

    /** Returns the configuration in force at [index], followed by all later ones. */
    fun configurationsFrom(index: Long): List<Configuration> =
        listOf(configurationAt(index)) + configurations.filter { it.first > index }.map { it.second }

    fun isUpToDate(otherIndex: Long, otherTerm: Long): Boolean =
        otherTerm > lastTerm || otherTerm == lastTerm && otherIndex >= lastIndex

    fun append(entry: LogEntry) {
        check(entry.index == lastIndex + 1) { "entry $entry does not follow index $lastIndex" }
        entries += entry
        commandBytes += entry.commandBytes
        entry.configuration?.let { configurations += entry.index to it }
    }

    fun truncateFrom(index: Long) {
        removeEntries((index - baseIndex - 1).toInt(), entries.size)
        while (configurations.last().first >= index) configurations.removeLast()
        if (index <= submittedIndex) {
            truncateFrom = minOf(index, truncateFrom ?: index)
            submittedIndex = index - 1
        }
        limitPersisted(index - 1)
    }

    /** Returns entries from index [from] up to a size of [maximumBytes], but at least one if there is any. */
    fun slice(from: Long, maximumBytes: Int): List<LogEntry> {
        val start = (from - baseIndex - 1).toInt()
        var end = start
        var bytes = 0L
        while (end < entries.size) {
            bytes += entries[end].commandBytes + ENTRY_OVERHEAD_BYTES
            if (end > start && bytes > maximumBytes) break
            end++
        }
        return if (start >= end) emptyList() else entries.subList(start, end).toList()
    }

    /** Records that [saved] is durable and discards all entries except the last [trailingEntries] before it. */
    fun compact(saved: Snapshot, trailingEntries: Long) {
        if (saved.index <= (snapshot?.index ?: 0)) return
        snapshot = saved
        val newBase = saved.index - trailingEntries
        if (newBase <= baseIndex) return
        val last = this[newBase]
        val configurationAtBase = configurationAt(newBase)
        removeEntries(0, (newBase - baseIndex).toInt())
        baseIndex = newBase
        baseTerm = last.term
        baseTime = last.timeMilliseconds
        while (configurations.isNotEmpty() && configurations.first().first <= newBase) configurations.removeFirst()
        configurations.addFirst(newBase to configurationAtBase)
    }

    /** Replaces the log up to the index of [received], or the whole log if it has no entry with that index and term. */
    fun install(received: Snapshot) {
        val keep = term(received.index) == received.term
        val kept = if (keep) slice(received.index + 1, Int.MAX_VALUE) else emptyList()
        snapshot = received
        unsavedSnapshot = received
        entries.clear()
        entries += kept
        commandBytes = kept.sumOf { it.commandBytes }
        baseIndex = received.index
        baseTerm = received.term
        baseTime = received.timeMilliseconds
        resetConfigurations()
        if (keep) {
            submittedIndex = maxOf(submittedIndex, received.index)
        } else {
            submittedIndex = received.index
            limitPersisted(0)
        }
    }

    /** Returns the changes to persist since the last call, or null if there are none. */
    fun takeChanges(sequence: Long, hardState: HardState?): ReplicaAction.Persist? {
        val from = submittedIndex + 1
        val added = if (from > lastIndex) emptyList() else slice(from, Int.MAX_VALUE)
        val logChanged = unsavedSnapshot != null || truncateFrom != null || added.isNotEmpty()
        if (hardState == null && !logChanged) return null
        val persist = ReplicaAction.Persist(sequence, hardState, unsavedSnapshot, truncateFrom, added)
        unsavedSnapshot = null
        truncateFrom = null
        submittedIndex = lastIndex
        pending += PendingPersist(sequence, lastIndex)
        return persist
    }

    fun onPersisted(sequence: Long) {
        while (pending.isNotEmpty() && pending.first().sequence <= sequence) {
            persistedIndex = maxOf(persistedIndex, pending.removeFirst().lastIndex)
        }
    }

    private fun removeEntries(from: Int, until: Int) {
        val removed = entries.subList(from, until)
        commandBytes -= removed.sumOf { it.commandBytes }
        removed.clear()
    }

    private fun limitPersisted(index: Long) {
        persistedIndex = minOf(persistedIndex, index)
        pending.forEach { it.lastIndex = minOf(it.lastIndex, index) }
    }

    private fun resetConfigurations() {
        configurations.clear()
        configurations += baseIndex to (snapshot?.configuration ?: Configuration.EMPTY)
        entries.forEach { entry -> entry.configuration?.let { configurations += entry.index to it } }
    }

    private class PendingPersist(
        val sequence: Long,
        var lastIndex: Long,
    )

    private companion object {
        /** Upper bound of the encoded size of an entry without its command. */
        const val ENTRY_OVERHEAD_BYTES = 64
    }
}
