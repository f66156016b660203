package org.zinniahoist.consensus

import org.zinniahoist.consensus.ReplicaMessageContent.AppendRequest
import org.zinniahoist.consensus.ReplicaMessageContent.AppendResponse
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotRequest
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotResponse

/** Replicates entries and snapshots to the peers of the leader. */
internal class Replication(private val context: ReplicaContext) {
    private val log = context.log
    private val options = context.options

    /**
     * Sends a heartbeat. It retransmits no entries: the response reveals which of them were lost, and a peer that never
     * responds receives them only once. A snapshot chunk is retransmitted after an election timeout, because no
     * response reveals its loss.
     */
    fun heartbeat(peer: Progress, round: Long) {
        when {
            peer.mode == Progress.Mode.SNAPSHOT -> if (isChunkOverdue(
                    peer,
                )
            ) {
                sendChunk(peer, round)
            } else {
                sendEmptyAppend(peer, round)
            }
            peer.nextIndex <= log.baseIndex -> startSnapshot(peer, round)
            else -> sendAppend(peer, emptyList(), round)
        }
    }

    private fun isChunkOverdue(peer: Progress): Boolean = context.now - peer.chunkSentAt >= options.electionTimeout

    /** Sends an empty append to a peer in [Progress.Mode.SNAPSHOT], to learn whether it is reachable. */
    private fun sendEmptyAppend(peer: Progress, round: Long) =
        context.send(peer.address, AppendRequest(log.lastIndex, log.lastTerm, emptyList(), context.commitIndex, round))

    /**
     * Asks the peer to confirm the leadership for [round]. Unlike a heartbeat, it never sends a snapshot chunk, because
     * rounds follow client reads, of which there may be hundreds per second.
     */
    fun requestConfirmation(peer: Progress, round: Long) {
        val canAppend = peer.mode != Progress.Mode.SNAPSHOT && peer.nextIndex > log.baseIndex
        if (canAppend) sendAppend(peer, emptyList(), round)
    }

    /** Sends new entries to [peer] within the limits of its mode. */
    fun sendEntries(peer: Progress, round: Long) {
        while (maySend(peer) && peer.nextIndex <= log.lastIndex) {
            if (peer.nextIndex <= log.baseIndex) return startSnapshot(peer, round)
            val entries = log.slice(peer.nextIndex, options.maximumBatchBytes)
            sendAppend(peer, entries, round)
            if (peer.mode == Progress.Mode.PIPELINE) {
                peer.onSent(entries)
            } else {
                peer.awaitsResponse = true
            }
        }
    }

    private fun maySend(peer: Progress): Boolean = when (peer.mode) {
        Progress.Mode.PROBE -> !peer.awaitsResponse
        Progress.Mode.PIPELINE -> peer.hasCapacity(options)
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
        peer.clearInflight()
        peer.snapshot = checkNotNull(log.snapshot) { "the log starts after index 1 without a snapshot" }
        peer.snapshotOffset = 0
        sendChunk(peer, round)
    }

    private fun sendChunk(peer: Progress, round: Long) {
        val source = checkNotNull(peer.snapshot)
        peer.chunkSentAt = context.now
        val start = peer.snapshotOffset.toInt()
        val end = minOf(source.data.size.toLong(), peer.snapshotOffset + options.maximumBatchBytes).toInt()
        val data = source.data.copyOfRange(start, end)
        val chunk = Snapshot(source.index, source.term, source.timeMilliseconds, source.configuration, data)
        context.send(peer.address, SnapshotRequest(chunk, peer.snapshotOffset, source.data.size.toLong(), round))
    }

    fun onSnapshotResponse(peer: Progress, response: SnapshotResponse, round: Long) {
        val source = peer.snapshot ?: return
        if (response.snapshotIndex != source.index) return
        if (response.complete) {
            peer.acknowledge(source.index)
            peer.probeFrom(source.index + 1)
        } else if (response.nextOffset != peer.snapshotOffset) {
            peer.snapshotOffset = response.nextOffset.coerceIn(0, source.data.size.toLong())
            sendChunk(peer, round)
        }
    }
}
