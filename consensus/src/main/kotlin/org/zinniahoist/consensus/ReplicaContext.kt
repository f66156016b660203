package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.random.Random

/** State shared by the components of a [Replica]. */
internal class ReplicaContext(
    val address: ReplicaAddress,
    val options: ReplicaOptions,
    recovered: RecoveredState,
    val random: Random,
    var now: Moment,
) {
    val log = ReplicaLog(recovered)
    val outbox = Outbox()
    var commitIndex: Long = log.snapshot?.index ?: 0
    var appliedIndex: Long = commitIndex

    /** Instances whose replicas may neither join the group nor become voters. */
    var excluded: Set<InstanceName> = emptySet()

    /** Bytes of commands and snapshots in messages emitted to other replicas. */
    var sentBytes: Long = 0
        private set
    private var hardState = recovered.hardState
    private var hardStateChanged = false

    val term: Long get() = hardState.term
    val vote: ReplicaIdentifier? get() = hardState.vote
    val isVoter: Boolean get() = log.configuration.isVoter(address.identifier)

    /**
     * True if this replica is a voter in a configuration that may be in force. A voter whose removal is not known to be
     * committed may hold the longest log; if it didn't campaign, no replica could win an election.
     */
    val mayCampaign: Boolean get() = log.configurationsFrom(commitIndex).any { it.isVoter(address.identifier) }

    fun setHardState(term: Long, vote: ReplicaIdentifier?) {
        val changed = HardState(term, vote)
        if (changed == hardState) return
        hardState = changed
        hardStateChanged = true
    }

    /** Sends immediately; only for messages that don't depend on the durable state of this replica. */
    fun send(to: ReplicaAddress, content: ReplicaMessageContent) {
        val message = ReplicaMessage(address, to.identifier, term, content)
        sentBytes += message.payloadBytes
        outbox.emit(ReplicaAction.Send(to.instance, message))
    }

    /** Sends after all changes made up to the end of this step are synced. */
    fun sendAfterSync(to: ReplicaAddress, content: ReplicaMessageContent) {
        val action = ReplicaAction.Send(to.instance, ReplicaMessage(address, to.identifier, term, content))
        outbox.afterSync { outbox.emit(action) }
    }

    fun finish(): List<ReplicaAction> = outbox.finish { sequence ->
        val state = if (hardStateChanged) hardState else null
        hardStateChanged = false
        log.takeChanges(sequence, state)
    }
}
