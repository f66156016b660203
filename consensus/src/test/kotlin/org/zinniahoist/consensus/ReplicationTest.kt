package org.zinniahoist.consensus

import org.junit.jupiter.api.Test
import org.zinniahoist.consensus.ReplicaMessageContent.AppendRequest
import org.zinniahoist.consensus.ReplicaMessageContent.AppendResponse
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotRequest
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds

/** Tests what a leader sends to replicas that lag, don't respond or have lost their data. */
internal class ReplicationTest : ReplicaFixture() {
    /** Guards against a leader that runs out of memory while replicas with erased disks catch up. */
    @Test
    fun `bounds the bytes in flight to a replica`() {
        val replica = leader()
        replica.receive(1, AppendResponse(true, 2, 2, 0))
        val sent = (1L..40L).flatMap { replica.propose(it, ByteArray(512 * 1_024)) }
        expectThat(sent.commandBytesTo(1)).isLessThanOrEqualTo(5L shl 20)
        val more = replica.receive(1, AppendResponse(true, sent.lastIndexTo(1), sent.lastIndexTo(1), 0))
        expectThat(more.commandBytesTo(1)).isGreaterThan(0)
    }

    /** Guards against a leader that retransmits entries with each client read. */
    @Test
    fun `reads retransmit no entries to a replica that has not responded`() {
        val replica = leader()
        replica.receive(1, AppendResponse(true, 2, 2, 0))
        repeat(8) { replica.propose(it.toLong(), ByteArray(512 * 1_024)) }
        val sent = (100L..150L).flatMap { replica.step(ReplicaEvent.Read(it)) }
        expectThat(sent.commandBytesTo(2)).isLessThanOrEqualTo(1L shl 20)
    }

    /**
     * Guards against a leader that runs out of memory because a member never responds, for example the former replica
     * of a drained instance: the link accepts messages to it, but no process receives them.
     */
    @Test
    fun `heartbeats retransmit no entries to a replica that has not responded`() {
        val replica = leader()
        replica.receive(1, AppendResponse(true, 2, 2, 0))
        repeat(8) { replica.propose(it.toLong(), ByteArray(512 * 1_024)) }
        val sent = replica.heartbeats(50)
        expectThat(sent.commandBytesTo(2)).isLessThanOrEqualTo(1L shl 20)
    }

    /** Guards against replication that stalls because the first entries sent were lost. */
    @Test
    fun `a heartbeat detects that the first entries were lost`() {
        val replica = leader()
        replica.receive(1, AppendResponse(true, 2, 2, 0))
        replica.propose(1, ByteArray(1))
        expectThat(replica.heartbeats(1).entriesTo(2)).isEmpty()
        expectThat(replica.receive(2, AppendResponse(true, 1, 1, 0)).lastIndexTo(2)).isEqualTo(3)
    }

    /** Guards against a leader that sends the same snapshot chunk to a slow replica ten times per second. */
    @Test
    fun `heartbeats retransmit no snapshot chunk in flight`() {
        val snapshot = Snapshot(1, 1, 1_000, configuration, ByteArray(3 shl 20))
        val replica = leader(replica(snapshot = snapshot))
        val start = replica.receive(2, AppendResponse(false, 1, 0, 0))
        expectThat(start.snapshotBytesTo(2)).isEqualTo(1L shl 20)
        expectThat(replica.heartbeats(5).snapshotBytesTo(2)).isEqualTo(0)
    }

    /** Guards against a snapshot transfer that stalls because a chunk was lost. */
    @Test
    fun `an unacknowledged snapshot chunk is retransmitted after an election timeout`() {
        val snapshot = Snapshot(1, 1, 1_000, configuration, ByteArray(3 shl 20))
        val replica = leader(replica(snapshot = snapshot))
        replica.receive(2, AppendResponse(false, 1, 0, 0))
        expectThat(replica.heartbeats(7).snapshotBytesTo(2)).isEqualTo(1L shl 20)
    }

    private fun List<ReplicaAction>.snapshotBytesTo(peer: Int): Long = filterIsInstance<ReplicaAction.Send>()
        .filter { it.message.to == addresses[peer].identifier && it.message.content is SnapshotRequest }
        .sumOf { it.message.payloadBytes }

    /** Sends [count] heartbeats, each answered by the first peer only. */
    private fun Replica.heartbeats(count: Int): List<ReplicaAction> = List(count) {
        val actions = step(ReplicaEvent.Tick, 100.milliseconds)
        actions + receive(1, AppendResponse(true, 2, 2, 0))
    }.flatten()

    private fun Replica.propose(request: Long, command: ByteArray) = step(ReplicaEvent.Propose(request, 1_000, command))

    private fun List<ReplicaAction>.entriesTo(peer: Int): List<LogEntry> = filterIsInstance<ReplicaAction.Send>()
        .filter { it.message.to == addresses[peer].identifier }
        .flatMap { (it.message.content as? AppendRequest)?.entries.orEmpty() }

    private fun List<ReplicaAction>.commandBytesTo(peer: Int): Long =
        entriesTo(peer).sumOf { it.command?.size?.toLong() ?: 0 }

    private fun List<ReplicaAction>.lastIndexTo(peer: Int): Long = entriesTo(peer).maxOf { it.index }
}
