package org.zinniahoist.consensus

import org.junit.jupiter.api.Test
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

class LeaderHintTest {
    private val leader = ReplicaAddress(ReplicaIdentifier(1), InstanceName("n1"))
    private val learner = ReplicaAddress(ReplicaIdentifier(2), InstanceName("n2"))
    private val configuration = Configuration(listOf(Member(leader, voter = true), Member(learner, voter = false)))

    /**
     * Guards against a learner that was removed while offline and keeps returning a former leader to clients. It has no
     * vote, so it never campaigns.
     */
    @Test
    fun `a learner returns no leader hint after an election timeout without contact`() {
        val first = LogEntry(1, 1, 1_000, command = null, configuration)
        val recovered = RecoveredState(learner.identifier, HardState(1, null), snapshot = null, listOf(first))
        val options = ReplicaOptions()
        var now = Moment.ZERO
        val replica = Replica(learner.instance, options, recovered, Random(1), now)
        val heartbeat = ReplicaMessageContent.AppendRequest(1, 1, emptyList(), commitIndex = 1, round = 0)
        replica.step(now, listOf(ReplicaEvent.Receive(ReplicaMessage(leader, learner.identifier, term = 1, heartbeat))))
        expectThat(replica.leaderHint).isEqualTo(leader.instance)
        val end = now + options.electionTimeout * 2
        while (now < end) {
            now += 50.milliseconds
            replica.step(now, listOf(ReplicaEvent.Tick))
        }
        expectThat(replica.leaderHint).isNull()
    }
}
