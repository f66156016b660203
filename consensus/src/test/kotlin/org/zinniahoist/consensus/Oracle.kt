package org.zinniahoist.consensus

import java.nio.ByteBuffer

internal class ViolationException(message: String) : IllegalStateException(message)

/** Knows what a correct group may do: one log, of which each replica applies a prefix. */
internal class Oracle {
    private class Applied(
        val entry: LogEntry,
        val chain: Long,
    )

    private val applied = ArrayList<Applied>()

    /** Numbers of what happened, to show what a run exercised. */
    val counts = java.util.TreeMap<String, Long>()

    private val leaders = HashMap<Long, ReplicaIdentifier>()

    /** Index that an answer given to a client by now has shown; reads that start now must include it. */
    var visibleIndex = 0L
        private set

    /** Highest index of an acknowledged write. */
    var acknowledgedIndex = 0L
        private set

    fun count(what: String) {
        counts.merge(what, 1, Long::plus)
    }

    fun onLeader(term: Long, leader: ReplicaIdentifier) {
        count("leaders")
        val other = leaders.putIfAbsent(term, leader)
        if (other != null && other != leader) throw ViolationException("term $term has leaders $other and $leader")
    }

    /** Checks that the entry is the same on all replicas, and returns the hash of the log up to it. */
    fun onApply(entry: LogEntry, chainBefore: Long): Long {
        val chain = (chainBefore * 31 + entry.term) * 31 + entry.index + (entry.command?.contentHashCode() ?: 0)
        val position = (entry.index - 1).toInt()
        if (position == applied.size) {
            val last = applied.lastOrNull()?.entry
            if (last != null && last.timeMilliseconds > entry.timeMilliseconds) {
                throw ViolationException("time decreases at entry $entry")
            }
            applied += Applied(entry, chain)
        }
        val known = applied.getOrNull(position) ?: throw ViolationException("entry $entry leaves a gap")
        if (known.chain != chain || known.entry.timeMilliseconds != entry.timeMilliseconds) {
            throw ViolationException("replicas disagree at $entry: another applied ${known.entry}")
        }
        return chain
    }

    fun onRestore(index: Long, chain: Long) {
        count("restores")
        val known = applied.getOrNull((index - 1).toInt()) ?: throw ViolationException("unknown snapshot at $index")
        if (known.chain != chain) throw ViolationException("snapshot at $index differs from the log")
    }

    fun onAcknowledged(index: Long, identifier: Long) {
        count("writes")
        val command = applied.getOrNull((index - 1).toInt())?.entry?.command
        if (command == null || ByteBuffer.wrap(command).getLong() != identifier) {
            throw ViolationException("write $identifier acknowledged at $index, which holds another command")
        }
        acknowledgedIndex = maxOf(acknowledgedIndex, index)
        visibleIndex = maxOf(visibleIndex, index)
    }

    fun onRead(index: Long, floor: Long) {
        count("reads")
        if (index < floor) throw ViolationException("a read saw index $index after $floor had been shown")
        visibleIndex = maxOf(visibleIndex, index)
    }
}
