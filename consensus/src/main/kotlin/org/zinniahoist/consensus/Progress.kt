package org.zinniahoist.consensus

import org.zinniahoist.model.Moment

/** Replication state of one peer, as tracked by the leader. */
internal class Progress(
    val address: ReplicaAddress,
    var nextIndex: Long,
    now: Moment,
) {
    enum class Mode {
        /** Sends one append at a time until the last matching index is known. */
        PROBE,

        /** Sends appends without waiting for responses. */
        PIPELINE,

        /** Sends a snapshot, one chunk at a time. */
        SNAPSHOT,
    }

    var mode = Mode.PROBE
    var matchIndex = 0L
    var lastContact: Moment = now
    var confirmedRound = 0L

    /** Unacknowledged appends in index order. */
    private val inflight = ArrayDeque<InflightAppend>()
    private var inflightBytes = 0L

    /** True in [Mode.PROBE] after the entries at [nextIndex] were sent, until a response moves [nextIndex]. */
    var awaitsResponse = false
    var snapshot: Snapshot? = null
    var snapshotOffset = 0L

    /** Time at which the last chunk of [snapshot] was sent. */
    var chunkSentAt: Moment = now

    private var catchUpTarget = nextIndex
    private var catchUpStart: Moment = now
    var caughtUp = false
        private set

    fun probeFrom(index: Long) {
        mode = Mode.PROBE
        nextIndex = maxOf(index, matchIndex + 1)
        clearInflight()
        awaitsResponse = false
        snapshot = null
    }

    /** Records that [entries] are in flight and advances [nextIndex]. */
    fun onSent(entries: List<LogEntry>) {
        nextIndex += entries.size
        val append = InflightAppend(nextIndex - 1, entries.sumOf { it.commandBytes })
        inflight += append
        inflightBytes += append.bytes
    }

    /** Returns true if the limits of unacknowledged appends and bytes permit another append. */
    fun hasCapacity(options: ReplicaOptions): Boolean =
        inflight.size < options.maximumInflightAppends && inflightBytes < options.maximumInflightBytes

    fun clearInflight() {
        inflight.clear()
        inflightBytes = 0
    }

    fun acknowledge(index: Long) {
        matchIndex = maxOf(matchIndex, index)
        nextIndex = maxOf(nextIndex, matchIndex + 1)
        while (inflight.isNotEmpty() && inflight.first().lastIndex <= matchIndex) {
            inflightBytes -= inflight.removeFirst().bytes
        }
    }

    /**
     * Measures in rounds whether a learner has caught up: it has if, within one election timeout, it acknowledges all
     * entries that the log held at the start of the round.
     */
    fun measureCatchUp(now: Moment, lastIndex: Long, options: ReplicaOptions) {
        if (matchIndex < catchUpTarget) return
        caughtUp = now - catchUpStart <= options.electionTimeout
        catchUpTarget = lastIndex
        catchUpStart = now
    }

    private class InflightAppend(
        val lastIndex: Long,
        val bytes: Long,
    )
}
