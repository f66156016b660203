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

class ReturningReplicaTest {
    private val former = ReplicaAddress(ReplicaIdentifier(1), InstanceName("n1"))
    private val own = ReplicaAddress(ReplicaIdentifier(2), InstanceName("n2"))
    private val present = InstanceName("n3")
    private val options = ReplicaOptions()
    private var now = Moment.ZERO

    private fun replica(isVoter: Boolean): Replica {
        val members = listOf(Member(former, voter = true), Member(own, isVoter))
        val first = LogEntry(1, 1, 1_000, command = null, Configuration(members))
        val recovered = RecoveredState(own.identifier, HardState(1, null), snapshot = null, listOf(first))
        val replica = Replica(own.instance, options, recovered, Random(1), now)
        replica.step(now, listOf(ReplicaEvent.SetJoinTargets(setOf(former.instance, own.instance, present))))
        return replica
    }

    /** Ticks for [time] and returns the instances that were asked for a place. */
    private fun Replica.asked(time: Duration, eachTick: ReplicaEvent? = null): Set<InstanceName> {
        val asked = HashSet<InstanceName>()
        val end = now + time
        while (now < end) {
            now += 50.milliseconds
            step(now, listOfNotNull(eachTick, ReplicaEvent.Tick))
                .filterIsInstance<ReplicaAction.Send>()
                .filter { it.message.content is ReplicaMessageContent.JoinRequest }
                .mapTo(asked) { it.instance }
        }
        return asked
    }

    /**
     * Guards against a group that runs out of replicas: one that was replaced while it was away is a member by its own
     * log, and as nobody answers it from there, it has to ask for a place again.
     */
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a replica that is a member by its log alone asks for a place`(isVoter: Boolean) {
        expectThat(replica(isVoter).asked(options.electionTimeout * 4)).contains(present)
    }

    /** Guards against requests of members that have their place. */
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a member that hears its leader asks for no place`(isVoter: Boolean) {
        val heartbeat = ReplicaMessageContent.AppendRequest(1, 1, emptyList(), commitIndex = 1, round = 0)
        val heard = ReplicaEvent.Receive(ReplicaMessage(former, own.identifier, term = 1, heartbeat))
        expectThat(replica(isVoter).asked(options.electionTimeout * 4, heard)).isEmpty()
    }
}
