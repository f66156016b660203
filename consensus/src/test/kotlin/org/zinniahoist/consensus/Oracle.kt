package org.zinniahoist.consensus

import java.nio.ByteBuffer

internal class InvariantViolation(message: String) : IllegalStateException(message)

/** Checks the invariants of a correct group: there is one log, of which each replica applies a prefix. */
internal class Oracle {
    private class Applied(
        val entry: LogEntry,
        val logHash: Long,
    )

    private val applied = ArrayList<Applied>()

    /** Event counts, which show what a run exercised. */
    val counts = java.util.TreeMap<String, Long>()

    private val leaders = HashMap<Long, ReplicaIdentifier>()

    /** Highest index reflected in an answer to a client; later reads must reflect at least this index. */
    var visibleIndex = 0L
        private set

    /** Highest index of an acknowledged write. */
    var acknowledgedIndex = 0L
        private set

    fun count(event: String) {
        counts.merge(event, 1, Long::plus)
    }

    fun onLeader(term: Long, leader: ReplicaIdentifier) {
        count("leaders")
        val other = leaders.putIfAbsent(term, leader)
        if (other != null && other != leader) throw InvariantViolation("term $term has leaders $other and $leader")
    }

    /** Checks that all replicas apply the same [entry] at its index. Returns the hash of the log up to it. */
    fun onApply(entry: LogEntry, hashBefore: Long): Long {
        val logHash = (hashBefore * 31 + entry.term) * 31 + entry.index + (entry.command?.contentHashCode() ?: 0)
        val position = (entry.index - 1).toInt()
        if (position == applied.size) {
            val last = applied.lastOrNull()?.entry
            if (last != null && last.timeMilliseconds > entry.timeMilliseconds) {
                throw InvariantViolation("time decreases at entry $entry")
            }
            applied += Applied(entry, logHash)
        }
        val known = applied.getOrNull(position) ?: throw InvariantViolation("entry $entry leaves a gap")
        if (known.logHash != logHash || known.entry.timeMilliseconds != entry.timeMilliseconds) {
            throw InvariantViolation("replicas diverge at $entry: another applied ${known.entry}")
        }
        return logHash
    }

    fun onRestore(index: Long, logHash: Long) {
        count("restores")
        val known = applied.getOrNull((index - 1).toInt()) ?: throw InvariantViolation("unknown snapshot at $index")
        if (known.logHash != logHash) throw InvariantViolation("snapshot at $index differs from the log")
    }

    fun onAcknowledged(index: Long, identifier: Long) {
        count("writes")
        val command = applied.getOrNull((index - 1).toInt())?.entry?.command
        if (command == null || ByteBuffer.wrap(command).getLong() != identifier) {
            throw InvariantViolation("write $identifier acknowledged at $index, which holds another command")
        }
        acknowledgedIndex = maxOf(acknowledgedIndex, index)
        visibleIndex = maxOf(visibleIndex, index)
    }

    fun onRead(index: Long, readIndex: Long) {
        count("reads")
        if (index < readIndex) throw InvariantViolation("stale read at $index: index $readIndex was visible before")
        visibleIndex = maxOf(visibleIndex, index)
    }
}
