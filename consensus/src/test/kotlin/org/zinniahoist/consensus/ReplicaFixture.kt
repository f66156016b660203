package org.zinniahoist.consensus

import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteResponse
import org.zinniahoist.consensus.ReplicaMessageContent.VoteResponse
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Fixture with one replica of a group of three; the test acts as its peers. */
internal abstract class ReplicaFixture {
    protected val addresses = List(3) { ReplicaAddress(ReplicaIdentifier(it.toLong()), InstanceName("n$it")) }
    protected val configuration = Configuration(addresses.map { Member(it, voter = true) })
    protected var now = Moment.ZERO
    protected val first = LogEntry(1, 1, 1_000, command = null, configuration)

    protected fun replica(vararg entries: LogEntry, snapshot: Snapshot? = null): Replica {
        val recovered = RecoveredState(addresses[0].identifier, HardState(1, null), snapshot, entries.toList())
        return Replica(addresses[0].instance, ReplicaOptions(), recovered, Random(1), now)
    }

    protected fun Replica.step(event: ReplicaEvent, later: Duration = Duration.ZERO): List<ReplicaAction> {
        now += later
        return step(now, listOf(event))
    }

    protected fun Replica.receive(from: Int, content: ReplicaMessageContent, term: Long = this.term) =
        step(ReplicaEvent.Receive(ReplicaMessage(addresses[from], address.identifier, term, content)))

    protected fun List<ReplicaAction>.sent() = filterIsInstance<ReplicaAction.Send>().map { it.message.content }

    protected fun List<ReplicaAction>.sequence() = filterIsInstance<ReplicaAction.Persist>().last().sequence

    protected fun leader(replica: Replica = replica(first)): Replica {
        replica.step(ReplicaEvent.Tick, 2.seconds)
        val campaign = replica.receive(1, PreVoteResponse(2, granted = true))
        replica.step(ReplicaEvent.Persisted(campaign.sequence()))
        val start = replica.receive(1, VoteResponse(granted = true))
        replica.step(ReplicaEvent.Persisted(start.sequence()))
        return replica
    }
}
