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

/** A replica whose thread was held up while its peers went on to send. */
internal class LateReplicaTest : ReplicaFixture() {
    private val heartbeat = AppendRequest(1, 1, emptyList(), commitIndex = 1, round = 0)
    private val answer = AppendResponse(true, 2, 2, 0)

    /** Guards against elections against a live leader whose messages wait to be read. */
    @ParameterizedTest
    @ValueSource(ints = [500, 1_000, 2_000])
    fun `a follower that was late does not campaign before it has read what arrived`(late: Int) {
        val replica = follower()
        val atOnce = replica.step(ReplicaEvent.Tick, late.milliseconds)
        val inTime = replica.tick(READING)
        expectThat((atOnce + inTime).sent()).filterIsInstance<PreVoteRequest>().isEmpty()
        expectThat(replica.leaderHint).isNotNull()
        replica.receive(1, heartbeat)
        expectThat(replica.tick(READING).sent()).filterIsInstance<PreVoteRequest>().isEmpty()
    }

    /** Guards against a vote for another candidate because this voter was late to read what its leader sends. */
    @ParameterizedTest
    @ValueSource(ints = [500, 1_000, 2_000])
    fun `a follower that was late refuses a pre-vote`(late: Int) {
        val replica = follower()
        now += late.milliseconds
        val response = replica.receive(2, PreVoteRequest(3, 1, 1)).sent()
        expectThat(response).contains(PreVoteResponse(3, granted = false))
    }

    /** Guards against a leader that ends all its runs because the answers of its followers wait to be read. */
    @ParameterizedTest
    @ValueSource(ints = [500, 1_000, 2_000])
    fun `a leader that was late goes on leading`(late: Int) {
        val replica = leader()
        replica.receive(1, answer)
        replica.tick(ReplicaOptions().electionTimeout)
        repeat(PAUSES) {
            // The quorum was confirmed at the last tick, so that no answer is counted yet when the pause begins.
            replica.step(ReplicaEvent.Tick, late.milliseconds)
            replica.tick(READING)
            expectThat(replica.isLeader).isTrue()
            replica.receive(1, answer)
            replica.step(ReplicaEvent.Tick, TICK)
        }
    }

    /** Guards against a leader that dies while a follower is late, and is replaced late or never. */
    @Test
    fun `a follower that was late campaigns within an election timeout and a half of its return`() {
        val replica = follower()
        replica.step(ReplicaEvent.Tick, 2_000.milliseconds)
        val back = now
        while (replica.step(ReplicaEvent.Tick, TICK).sent().none { it is PreVoteRequest }) {
            expectThat(now - back).isLessThanOrEqualTo(ReplicaOptions().electionTimeout * 1.5)
        }
    }

    /** Guards against a leader that is cut off and leads on because its thread is late as well. */
    @Test
    fun `a late leader without a majority steps down`() {
        val replica = leader()
        replica.step(ReplicaEvent.Tick, 2_000.milliseconds)
        replica.tick(ReplicaOptions().electionTimeout * 2)
        expectThat(replica.isLeader).isFalse()
    }

    private fun follower(): Replica {
        val replica = replica(first)
        val heard = replica.receive(1, heartbeat, term = 2)
        replica.step(ReplicaEvent.Persisted(heard.sequence()))
        replica.step(ReplicaEvent.Tick)
        return replica
    }

    private fun Replica.tick(time: Duration): List<ReplicaAction> {
        val end = now + time
        return buildList { while (now < end) addAll(step(ReplicaEvent.Tick, TICK)) }
    }

    private companion object {
        val TICK = 50.milliseconds

        /** Time that a process needs to read what arrived; less than half of the election timeout. */
        val READING = 200.milliseconds
        const val PAUSES = 4
    }
}
