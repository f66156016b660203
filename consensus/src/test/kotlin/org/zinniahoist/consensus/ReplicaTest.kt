@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package org.zinniahoist.consensus

import kotlinx.serialization.cbor.Cbor
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.consensus.ReplicaMessageContent.AppendRequest
import org.zinniahoist.consensus.ReplicaMessageContent.AppendResponse
import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteRequest
import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteResponse
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotRequest
import org.zinniahoist.consensus.ReplicaMessageContent.VoteRequest
import org.zinniahoist.consensus.ReplicaMessageContent.VoteResponse
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ReplicaTest : ReplicaFixture() {
    /** Guards against a replica that answers no requests while it applies its whole log after a start. */
    @Test
    fun `a long log is applied in bounded steps`() {
        val entries = (2L..1_000).map { LogEntry(it, 1, 1_000, byteArrayOf(1)) }
        val replica = replica(first, *entries.toTypedArray())
        val applied = ArrayList<Long>()
        var actions = replica.receive(1, AppendRequest(1_000, 1, emptyList(), commitIndex = 1_000, round = 0))
        while (actions.isNotEmpty()) {
            val part = actions.filterIsInstance<ReplicaAction.Apply>().map { it.entry.index }
            expectThat(part.size).isLessThanOrEqualTo(MAXIMUM_APPLIED)
            applied += part
            actions = replica.step(now, emptyList())
        }
        expectThat(applied.toList()).isEqualTo((1L..1_000).toList())
    }

    @Nested
    inner class `Before the sync completed` {
        /** Guards against a second vote in the same term after a crash loses the first. */
        @Test
        fun `no vote is sent`() {
            val replica = replica(first)
            val actions = replica.receive(1, VoteRequest(1, 1), term = 2)
            expectThat(actions.sent()).isEmpty()
            expectThat(replica.step(ReplicaEvent.Persisted(actions.sequence())).sent()).contains(VoteResponse(true))
        }

        /** Guards against committed entries that are lost in a crash. */
        @Test
        fun `no entry is acknowledged`() {
            val replica = replica(first)
            val entry = LogEntry(2, 2, 1_000, ByteArray(1))
            val actions = replica.receive(1, AppendRequest(1, 1, listOf(entry), 1, 0), term = 2)
            expectThat(actions.sent()).isEmpty()
            expectThat(replica.step(ReplicaEvent.Persisted(actions.sequence())).sent())
                .contains(AppendResponse(true, 2, 2, 0))
        }
    }

    @Nested
    inner class `A leader` {
        /** Guards against a partitioned leader that doesn't step down. */
        @Test
        fun `steps down without a majority`() {
            val replica = leader()
            expectThat(replica.isLeader).isTrue()
            repeat(2) { replica.step(ReplicaEvent.Tick, 700.milliseconds) }
            expectThat(replica.isLeader).isFalse()
        }

        /** Guards against stale reads from a leader that doesn't know of its successor yet. */
        @Test
        fun `answers a read only after a majority confirmed the leadership`() {
            val replica = leader()
            replica.receive(1, AppendResponse(true, 2, 2, 0))
            val actions = replica.step(ReplicaEvent.Read(5))
            val round = actions.sent().filterIsInstance<AppendRequest>().last().round
            expectThat(actions.filterIsInstance<ReplicaAction.AnswerRead>()).isEmpty()
            val stale = replica.receive(1, AppendResponse(true, 2, 2, round - 1))
            expectThat(stale.filterIsInstance<ReplicaAction.AnswerRead>()).isEmpty()
            expectThat(replica.receive(2, AppendResponse(true, 2, 2, round))).contains(ReplicaAction.AnswerRead(5))
        }

        /** Guards against decreasing log timestamps after the wall clock is set back. */
        @Test
        fun `never assigns a decreasing timestamp`() {
            val replica = leader()
            val entries =
                listOf(5_000L, 200L).flatMap { wall ->
                    replica.step(ReplicaEvent.Propose(1, wall, ByteArray(1)))
                        .filterIsInstance<ReplicaAction.Persist>().flatMap { it.entries }
                }
            expectThat(entries.map { it.timeMilliseconds }).isEqualTo(listOf(5_000L, 5_000L))
        }
    }

    @Nested
    inner class `Without a leader` {
        /** Guards against a group that waits for a full election timeout after all processes restarted. */
        @Test
        fun `a restarted voter campaigns within a fraction of the election timeout`() {
            val replica = replica(first)
            expectThat(replica.step(ReplicaEvent.Tick, 120.milliseconds).sent()).contains(PreVoteRequest(2, 1, 1))
        }

        /** Guards against an unanswered first campaign that is retried only after the election timeout. */
        @Test
        fun `a restarted voter retries its campaign while the others start`() {
            val replica = replica(first)
            replica.step(ReplicaEvent.Tick, 120.milliseconds)
            expectThat(replica.step(ReplicaEvent.Tick, 120.milliseconds).sent()).contains(PreVoteRequest(2, 1, 1))
        }

        /** Guards against waiting for the election timeout although the leader's process is known to have stopped. */
        @Test
        fun `a follower campaigns soon after the leader's process stopped`() {
            val replica = follower()
            replica.step(ReplicaEvent.PeerStopped(addresses[1].instance))
            expectThat(replica.step(ReplicaEvent.Tick, 120.milliseconds).sent()).contains(PreVoteRequest(3, 1, 1))
        }

        /** Guards against pre-votes rejected because of recent contact with a leader whose process has stopped. */
        @Test
        fun `a follower grants a pre-vote after the leader's process stopped`() {
            val replica = follower()
            replica.step(ReplicaEvent.PeerStopped(addresses[1].instance))
            val response = replica.receive(2, PreVoteRequest(3, 1, 1)).sent()
            expectThat(response).contains(PreVoteResponse(3, granted = true))
        }

        /** Guards against elections after the process of another follower stopped. */
        @Test
        fun `a follower keeps its leader when another process stopped`() {
            val replica = follower()
            replica.step(ReplicaEvent.PeerStopped(addresses[2].instance))
            expectThat(replica.step(ReplicaEvent.Tick, 120.milliseconds).sent()).isEmpty()
            val response = replica.receive(2, PreVoteRequest(3, 1, 1)).sent()
            expectThat(response).contains(PreVoteResponse(3, granted = false))
        }

        private fun follower(): Replica {
            val replica = replica(first)
            val response = replica.receive(1, AppendRequest(1, 1, emptyList(), 1, 0), term = 2)
            replica.step(ReplicaEvent.Persisted(response.sequence()))
            return replica
        }
    }

    @Nested
    inner class `A replica without a vote` {
        /** Guards against learners that disrupt the group with campaigns. */
        @Test
        fun `does not campaign as a learner`() {
            val learner = Configuration(configuration.members.map { it.copy(voter = it.address != addresses[0]) })
            val replica = replica(LogEntry(1, 1, 1_000, command = null, learner))
            expectThat(replica.step(ReplicaEvent.Tick, 2.seconds).sent()).isEmpty()
        }

        /** Guards against a group without a leader because the only electable replica doesn't know of its promotion. */
        @Test
        fun `campaigns as a learner after rejecting a candidate with an older log`() {
            val learner = Configuration(configuration.members.map { it.copy(voter = it.address != addresses[0]) })
            val replica = replica(LogEntry(1, 1, 1_000, command = null, learner), LogEntry(2, 1, 1_000))
            replica.receive(1, PreVoteRequest(2, 1, 1))
            expectThat(replica.step(ReplicaEvent.Tick, 2.seconds).sent()).contains(PreVoteRequest(2, 2, 1))
        }

        /** Guards against a group without a leader because the replica with the longest log doesn't campaign. */
        @Test
        fun `campaigns until its removal is committed`() {
            val removal = LogEntry(2, 1, 1_000, command = null, configuration.without(addresses[0].identifier))
            val replica = replica(first, removal)
            expectThat(replica.step(ReplicaEvent.Tick, 2.seconds).sent()).contains(PreVoteRequest(2, 2, 1))
        }
    }

    /** Guards against messages that can't be encoded for a link. */
    @Test
    fun `messages are unchanged after CBOR encoding and decoding`() {
        val snapshot = Snapshot(1, 1, 1, configuration, ByteArray(3))
        val contents = listOf(AppendRequest(1, 1, listOf(first), 1, 2), SnapshotRequest(snapshot, 0, 3, 1))
        for (content in contents + ReplicaMessageContent.JoinRequest) {
            val message = ReplicaMessage(addresses[0], null, 3, content)
            val bytes = Cbor.encodeToByteArray(ReplicaMessage.serializer(), message)
            val decoded = Cbor.decodeFromByteArray(ReplicaMessage.serializer(), bytes)
            expectThat(decoded.toString()).isEqualTo(message.toString())
        }
    }

    private companion object {
        /** Takes a few milliseconds to apply, even in a process that has just started. */
        const val MAXIMUM_APPLIED = 100
    }
}
