package org.zinniahoist.consensus

import org.zinniahoist.model.Moment

/** What the leader knows about the log of another replica. */
internal class Progress(
    val address: ReplicaAddress,
    var nextIndex: Long,
    now: Moment,
) {
    enum class Mode {
        /** One append at a time, until the position where the logs match is found. */
        PROBE,

        /** Appends are sent without waiting for answers. */
        PIPELINE,

        /** Chunks of a snapshot are sent one at a time. */
        SNAPSHOT,
    }

    var mode = Mode.PROBE
    var matchIndex = 0L
    var lastContact: Moment = now
    var confirmedRound = 0L

    /** Appends without an answer, in the order of their indexes. */
    private val inflight = ArrayDeque<InflightAppend>()
    private var inflightBytes = 0L

    /** True in the mode [Mode.PROBE] if the entries at [nextIndex] were sent, until an answer moves that position. */
    var waiting = false
    var snapshot: Snapshot? = null
    var snapshotOffset = 0L

    /** Time at which a part of [snapshot] was sent last. */
    var chunkSentAt: Moment = now

    private var catchUpTarget = nextIndex
    private var catchUpStart: Moment = now
    var caughtUp = false
        private set

    fun probeFrom(index: Long) {
        mode = Mode.PROBE
        nextIndex = maxOf(index, matchIndex + 1)
        forgetInflight()
        waiting = false
        snapshot = null
    }

    /** Records that [entries] were sent and may be followed by others. */
    fun onSent(entries: List<LogEntry>) {
        nextIndex += entries.size
        val append = InflightAppend(nextIndex - 1, entries.sumOf { it.commandBytes })
        inflight += append
        inflightBytes += append.bytes
    }

    /** Returns true if another append may be sent without an answer. */
    fun hasRoom(options: ReplicaOptions): Boolean =
        inflight.size < options.maximumInflightAppends && inflightBytes < options.maximumInflightBytes

    fun forgetInflight() {
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
     * Measures the catching up of a learner in rounds: it has caught up once it received, within one election timeout,
     * everything that the log held at the start of the round.
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
