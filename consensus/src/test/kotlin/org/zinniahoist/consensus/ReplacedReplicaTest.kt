package org.zinniahoist.consensus

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class ReplacedReplicaTest {
    private val formerLeader = ReplicaAddress(ReplicaIdentifier(1), InstanceName("n1"))
    private val own = ReplicaAddress(ReplicaIdentifier(2), InstanceName("n2"))
    private val joinTarget = InstanceName("n3")
    private val options = ReplicaOptions()
    private var now = Moment.ZERO

    private fun replica(isVoter: Boolean): Replica {
        val members = listOf(Member(formerLeader, voter = true), Member(own, isVoter))
        val first = LogEntry(1, 1, 1_000, command = null, Configuration(members))
        val recovered = RecoveredState(own.identifier, HardState(1, null), snapshot = null, listOf(first))
        val replica = Replica(own.instance, options, recovered, Random(1), now)
        replica.step(now, listOf(ReplicaEvent.SetJoinTargets(setOf(formerLeader.instance, own.instance, joinTarget))))
        return replica
    }

    /** Ticks for [time] and returns the instances that received a join request. */
    private fun Replica.joinRequestTargets(time: Duration, eachTick: ReplicaEvent? = null): Set<InstanceName> {
        val joinRequestTargets = HashSet<InstanceName>()
        val end = now + time
        while (now < end) {
            now += 50.milliseconds
            step(now, listOfNotNull(eachTick, ReplicaEvent.Tick))
                .filterIsInstance<ReplicaAction.Send>()
                .filter { it.message.content is ReplicaMessageContent.JoinRequest }
                .mapTo(joinRequestTargets) { it.instance }
        }
        return joinRequestTargets
    }

    /**
     * Guards against a group that runs out of replicas. A replica that was replaced while offline is still a member in
     * its own log, but no leader contacts it, so it has to send join requests.
     */
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a replaced replica that is a member only in its own log sends join requests`(isVoter: Boolean) {
        expectThat(replica(isVoter).joinRequestTargets(options.electionTimeout * 4)).contains(joinTarget)
    }

    /** Guards against join requests of current members. */
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a member in contact with its leader sends no join requests`(isVoter: Boolean) {
        val heartbeat = ReplicaMessageContent.AppendRequest(1, 1, emptyList(), commitIndex = 1, round = 0)
        val received = ReplicaEvent.Receive(ReplicaMessage(formerLeader, own.identifier, term = 1, heartbeat))
        expectThat(replica(isVoter).joinRequestTargets(options.electionTimeout * 4, received)).isEmpty()
    }
}
