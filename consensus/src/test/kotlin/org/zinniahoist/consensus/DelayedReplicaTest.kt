package org.zinniahoist.consensus

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.consensus.ReplicaMessageContent.AppendRequest
import org.zinniahoist.consensus.ReplicaMessageContent.AppendResponse
import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteRequest
import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteResponse
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.filterIsInstance
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tests a replica whose thread was delayed while its peers kept sending. */
internal class DelayedReplicaTest : ReplicaFixture() {
    private val heartbeat = AppendRequest(1, 1, emptyList(), commitIndex = 1, round = 0)
    private val answer = AppendResponse(true, 2, 2, 0)

    /** Guards against elections while the messages of a live leader are queued. */
    @ParameterizedTest
    @ValueSource(ints = [500, 1_000, 2_000])
    fun `a delayed follower does not campaign before it has processed queued messages`(delayMilliseconds: Int) {
        val replica = follower()
        val atOnce = replica.step(ReplicaEvent.Tick, delayMilliseconds.milliseconds)
        val inTime = replica.tick(DRAIN_TIME)
        expectThat((atOnce + inTime).sent()).filterIsInstance<PreVoteRequest>().isEmpty()
        expectThat(replica.leaderHint).isNotNull()
        replica.receive(1, heartbeat)
        expectThat(replica.tick(DRAIN_TIME).sent()).filterIsInstance<PreVoteRequest>().isEmpty()
    }

    /** Guards against a vote for another candidate because this voter has not yet processed its leader's messages. */
    @ParameterizedTest
    @ValueSource(ints = [500, 1_000, 2_000])
    fun `a delayed follower rejects a pre-vote`(delayMilliseconds: Int) {
        val replica = follower()
        now += delayMilliseconds.milliseconds
        val response = replica.receive(2, PreVoteRequest(3, 1, 1)).sent()
        expectThat(response).contains(PreVoteResponse(3, granted = false))
    }

    /** Guards against a leader that steps down, ending all its runs, while its followers' responses are queued. */
    @ParameterizedTest
    @ValueSource(ints = [500, 1_000, 2_000])
    fun `a delayed leader keeps the leadership`(delayMilliseconds: Int) {
        val replica = leader()
        replica.receive(1, answer)
        replica.tick(ReplicaOptions().electionTimeout)
        repeat(DELAYS) {
            // The quorum was confirmed at the last tick, so no response is counted yet when the delay begins.
            replica.step(ReplicaEvent.Tick, delayMilliseconds.milliseconds)
            replica.tick(DRAIN_TIME)
            expectThat(replica.isLeader).isTrue()
            replica.receive(1, answer)
            replica.step(ReplicaEvent.Tick, TICK)
        }
    }

    /** Guards against a late or missing election after a leader crashes while a follower is delayed. */
    @Test
    fun `a delayed follower campaigns within one and a half election timeouts after the delay`() {
        val replica = follower()
        replica.step(ReplicaEvent.Tick, 2_000.milliseconds)
        val delayEnd = now
        while (replica.step(ReplicaEvent.Tick, TICK).sent().none { it is PreVoteRequest }) {
            expectThat(now - delayEnd).isLessThanOrEqualTo(ReplicaOptions().electionTimeout * 1.5)
        }
    }

    /** Guards against a partitioned leader that doesn't step down because its thread is delayed as well. */
    @Test
    fun `a delayed leader without a majority steps down`() {
        val replica = leader()
        replica.step(ReplicaEvent.Tick, 2_000.milliseconds)
        replica.tick(ReplicaOptions().electionTimeout * 2)
        expectThat(replica.isLeader).isFalse()
    }

    private fun follower(): Replica {
        val replica = replica(first)
        val response = replica.receive(1, heartbeat, term = 2)
        replica.step(ReplicaEvent.Persisted(response.sequence()))
        replica.step(ReplicaEvent.Tick)
        return replica
    }

    private fun Replica.tick(time: Duration): List<ReplicaAction> {
        val end = now + time
        return buildList { while (now < end) addAll(step(ReplicaEvent.Tick, TICK)) }
    }

    private companion object {
        val TICK = 50.milliseconds

        /** Time in which a process drains its queued messages; less than half of the election timeout. */
        val DRAIN_TIME = 200.milliseconds
        const val DELAYS = 4
    }
}
