package org.zinniahoist.consensus

import org.zinniahoist.consensus.ReplicaMessageContent.AppendRequest
import org.zinniahoist.consensus.ReplicaMessageContent.AppendResponse
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotRequest
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotResponse

/** Sends entries and snapshots to the other replicas. */
internal class Replication(private val context: ReplicaContext) {
    private val log = context.log
    private val options = context.options

    /**
     * Sends a message that the peer answers, whether or not there are new entries. It repeats no entries: its answer
     * tells which of them were lost, and a peer that never answers gets them once. A part of a snapshot, whose loss no
     * answer tells, is repeated after an election timeout.
     */
    fun heartbeat(peer: Progress, round: Long) {
        when {
            peer.mode == Progress.Mode.SNAPSHOT -> if (isChunkOverdue(
                    peer,
                )
            ) {
                sendChunk(peer, round)
            } else {
                ask(peer, round)
            }
            peer.nextIndex <= log.baseIndex -> startSnapshot(peer, round)
            else -> sendAppend(peer, emptyList(), round)
        }
    }

    private fun isChunkOverdue(peer: Progress): Boolean = context.now - peer.chunkSentAt >= options.electionTimeout

    /** Asks a peer in the mode [Progress.Mode.SNAPSHOT] for a sign of life. */
    private fun ask(peer: Progress, round: Long) =
        context.send(peer.address, AppendRequest(log.lastIndex, log.lastTerm, emptyList(), context.commitIndex, round))

    /**
     * Asks the peer to confirm the leadership for [round]. Unlike a heartbeat this repeats no entries and no part of a
     * snapshot: rounds follow the reads, of which there may be hundreds a second.
     */
    fun confirm(peer: Progress, round: Long) {
        val isProbed = peer.mode != Progress.Mode.SNAPSHOT && peer.nextIndex > log.baseIndex
        if (isProbed) sendAppend(peer, emptyList(), round)
    }

    /** Sends new entries as far as the mode of [peer] allows. */
    fun sendEntries(peer: Progress, round: Long) {
        while (mayContinue(peer) && peer.nextIndex <= log.lastIndex) {
            if (peer.nextIndex <= log.baseIndex) return startSnapshot(peer, round)
            val entries = log.slice(peer.nextIndex, options.maximumBatchBytes)
            sendAppend(peer, entries, round)
            if (peer.mode == Progress.Mode.PIPELINE) {
                peer.onSent(entries)
            } else {
                peer.waiting = true
            }
        }
    }

    private fun mayContinue(peer: Progress): Boolean = when (peer.mode) {
        Progress.Mode.PROBE -> !peer.waiting
        Progress.Mode.PIPELINE -> peer.hasRoom(options)
        Progress.Mode.SNAPSHOT -> false
    }

    private fun sendAppend(peer: Progress, entries: List<LogEntry>, round: Long) {
        val previous = peer.nextIndex - 1
        val previousTerm = checkNotNull(log.term(previous)) { "no entry at $previous" }
        context.send(peer.address, AppendRequest(previous, previousTerm, entries, context.commitIndex, round))
    }

    fun onAppendResponse(peer: Progress, response: AppendResponse) {
        if (response.success) {
            peer.acknowledge(response.index)
            if (peer.mode == Progress.Mode.PROBE) {
                peer.mode = Progress.Mode.PIPELINE
                peer.nextIndex = peer.matchIndex + 1
            }
            return
        }
        val stale = response.index <= peer.matchIndex || peer.mode == Progress.Mode.SNAPSHOT
        if (stale || peer.mode == Progress.Mode.PROBE && response.index != peer.nextIndex - 1) return
        peer.probeFrom(minOf(response.hint, response.index - 1) + 1)
    }

    private fun startSnapshot(peer: Progress, round: Long) {
        peer.mode = Progress.Mode.SNAPSHOT
        peer.forgetInflight()
        peer.snapshot = checkNotNull(log.snapshot) { "the log starts after index 1 without a snapshot" }
        peer.snapshotOffset = 0
        sendChunk(peer, round)
    }

    private fun sendChunk(peer: Progress, round: Long) {
        val whole = checkNotNull(peer.snapshot)
        peer.chunkSentAt = context.now
        val start = peer.snapshotOffset.toInt()
        val end = minOf(whole.data.size.toLong(), peer.snapshotOffset + options.maximumBatchBytes).toInt()
        val data = whole.data.copyOfRange(start, end)
        val chunk = Snapshot(whole.index, whole.term, whole.timeMilliseconds, whole.configuration, data)
        context.send(peer.address, SnapshotRequest(chunk, peer.snapshotOffset, whole.data.size.toLong(), round))
    }

    fun onSnapshotResponse(peer: Progress, response: SnapshotResponse, round: Long) {
        val whole = peer.snapshot ?: return
        if (response.snapshotIndex != whole.index) return
        if (response.complete) {
            peer.acknowledge(whole.index)
            peer.probeFrom(whole.index + 1)
        } else if (response.nextOffset != peer.snapshotOffset) {
            peer.snapshotOffset = response.nextOffset.coerceIn(0, whole.data.size.toLong())
            sendChunk(peer, round)
        }
    }
}
