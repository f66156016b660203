package org.zinniahoist.consensus

import org.zinniahoist.consensus.ReplicaMessageContent.AppendRequest
import org.zinniahoist.consensus.ReplicaMessageContent.AppendResponse
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotRequest
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotResponse
import java.io.ByteArrayOutputStream

/** Follower side of replication: appends entries and installs snapshots from the leader of the current term. */
internal class FollowerLog(private val context: ReplicaContext) {
    private val log = context.log
    private var receivedIndex = -1L
    private var receivedFrom: ReplicaIdentifier? = null
    private val receivedData = ByteArrayOutputStream()

    fun onAppend(from: ReplicaAddress, request: AppendRequest) {
        if (!matches(request)) {
            val response = AppendResponse(false, request.previousIndex, hint(request.previousIndex), request.round)
            context.sendAfterSync(from, response)
            return
        }
        request.entries.forEach(::appendEntry)
        val match = maxOf(request.previousIndex + request.entries.size, minOf(log.baseIndex, context.commitIndex))
        context.commitIndex = maxOf(context.commitIndex, minOf(request.commitIndex, match))
        context.sendAfterSync(from, AppendResponse(true, match, match, request.round))
    }

    /** Checks the previous entry. Entries before the base of the log are committed, so they match the leader's. */
    private fun matches(request: AppendRequest): Boolean =
        request.previousIndex < log.baseIndex || log.term(request.previousIndex) == request.previousTerm

    private fun hint(previousIndex: Long): Long {
        if (previousIndex > log.lastIndex) return log.lastIndex
        val conflicting = log.term(previousIndex)
        var index = previousIndex - 1
        while (index > context.commitIndex && log.term(index) == conflicting) index--
        return index
    }

    private fun appendEntry(entry: LogEntry) {
        if (entry.index <= log.baseIndex) return
        val present = log.term(entry.index)
        if (present == entry.term) return
        if (present != null) {
            check(entry.index > context.commitIndex) { "entry $entry conflicts with the committed log" }
            log.truncateFrom(entry.index)
        }
        log.append(entry)
    }

    fun onSnapshot(from: ReplicaAddress, request: SnapshotRequest) {
        val snapshot = request.snapshot
        if (snapshot.index <= context.commitIndex) {
            respond(from, request, request.totalBytes, complete = true)
            return
        }
        if (receivedIndex != snapshot.index || receivedFrom != from.identifier) {
            receivedData.reset()
            receivedIndex = snapshot.index
            receivedFrom = from.identifier
        }
        if (request.offset == receivedData.size().toLong()) receivedData.write(snapshot.data)
        val complete = receivedData.size().toLong() == request.totalBytes
        if (complete) install(snapshot)
        respond(from, request, if (complete) request.totalBytes else receivedData.size().toLong(), complete)
    }

    private fun install(last: Snapshot) {
        val fullSnapshot =
            Snapshot(last.index, last.term, last.timeMilliseconds, last.configuration, receivedData.toByteArray())
        receivedData.reset()
        receivedIndex = -1
        log.install(fullSnapshot)
        context.commitIndex = fullSnapshot.index
        context.appliedIndex = fullSnapshot.index
        context.outbox.emit(ReplicaAction.RestoreStateMachine(fullSnapshot))
    }

    private fun respond(
        from: ReplicaAddress,
        request: SnapshotRequest,
        nextOffset: Long,
        complete: Boolean,
    ) = context.sendAfterSync(
        from,
        SnapshotResponse(request.snapshot.index, nextOffset, complete, request.round),
    )
}
