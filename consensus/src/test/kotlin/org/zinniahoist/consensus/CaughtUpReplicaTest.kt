package org.zinniahoist.consensus

import org.junit.jupiter.api.Test
import org.zinniahoist.consensus.ReplicaMessageContent.AppendRequest
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

internal class CaughtUpReplicaTest : ReplicaFixture() {
    private val changed = Configuration(configuration.members.drop(1))

    private fun append(previous: Long, entries: List<LogEntry>, commitIndex: Long) =
        AppendRequest(previous, previousTerm = 1, entries, commitIndex, round = 0)

    /** Guards against a replica that states former members as today's while it receives the log from its leader. */
    @Test
    fun `a replica has caught up once it knows as committed what its leader does`() {
        val replica = replica(first)
        expectThat(replica.isCaughtUp).isFalse()
        replica.receive(1, append(previous = 1, listOf(LogEntry(2, 1, 1_000)), commitIndex = 4), term = 1)
        expectThat(replica.isCaughtUp).isFalse()
        expectThat(replica.committedConfiguration).isEqualTo(PositionedConfiguration(1, configuration))
        val rest = listOf(LogEntry(3, 1, 1_000, null, changed), LogEntry(4, 1, 1_000))
        replica.receive(1, append(previous = 2, rest, commitIndex = 4), term = 1)
        expectThat(replica.isCaughtUp).isTrue()
        expectThat(replica.committedConfiguration).isEqualTo(PositionedConfiguration(3, changed))
    }

    /** Guards against a new leader and followers that state as committed only what they knew before the election. */
    @Test
    fun `nobody has caught up before the leader has committed an entry of its term`() {
        val replica = replica(first)
        replica.receive(1, append(previous = 1, emptyList(), commitIndex = 1), term = 2)
        expectThat(replica.isCaughtUp).isFalse()
        val elected = leader()
        expectThat(elected.isCaughtUp).isFalse()
        elected.receive(1, ReplicaMessageContent.AppendResponse(success = true, index = 2, hint = 0, round = 0))
        expectThat(elected.isCaughtUp).isTrue()
    }

    /** Guards against an announcement of members whose change may still be undone. */
    @Test
    fun `the committed configuration is not the latest one while that one is uncommitted`() {
        val replica = replica(first)
        replica.receive(
            1,
            append(previous = 1, listOf(LogEntry(2, 1, 1_000, null, changed)), commitIndex = 1),
            term = 1,
        )
        expectThat(replica.configuration).isEqualTo(changed)
        expectThat(replica.committedConfiguration.configuration).isEqualTo(configuration)
    }

    /** Guards against a replica that states the members of a snapshot as today's before it has the entries after it. */
    @Test
    fun `a replica that has installed a snapshot has caught up only with the entries after it`() {
        val replica = replica(first)
        val snapshot = Snapshot(50, 1, 1_000, changed, ByteArray(1))
        replica.receive(1, ReplicaMessageContent.SnapshotRequest(snapshot, offset = 0, totalBytes = 1, round = 0), 1)
        expectThat(replica.isCaughtUp).isFalse()
        expectThat(replica.committedConfiguration).isEqualTo(PositionedConfiguration(50, changed))
        replica.receive(1, append(previous = 50, emptyList(), commitIndex = 50), term = 1)
        expectThat(replica.isCaughtUp).isTrue()
    }
}
