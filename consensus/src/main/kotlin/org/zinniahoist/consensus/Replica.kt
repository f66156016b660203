package org.zinniahoist.consensus

import org.zinniahoist.consensus.ReplicaMessageContent.AppendRequest
import org.zinniahoist.consensus.ReplicaMessageContent.AppendResponse
import org.zinniahoist.consensus.ReplicaMessageContent.JoinRequest
import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteRequest
import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteResponse
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotRequest
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotResponse
import org.zinniahoist.consensus.ReplicaMessageContent.TakeOver
import org.zinniahoist.consensus.ReplicaMessageContent.VoteRequest
import org.zinniahoist.consensus.ReplicaMessageContent.VoteResponse
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.random.Random
import kotlin.time.Duration

/**
 * One replica of a consensus group, as a function of events and the present time to actions (Raft).
 *
 * It does no I/O, reads no clock and starts no thread. The caller carries out the actions in order; a replica is not
 * safe for use by several threads.
 */
public class Replica(
    instance: InstanceName,
    options: ReplicaOptions,
    recovered: RecoveredState,
    random: Random,
    now: Moment,
) {
    private val context =
        ReplicaContext(ReplicaAddress(recovered.identifier, instance), options, recovered, random, now)
    private val election = Election(context, ::becomeLeader)
    private val follower = FollowerLog(context)
    private val lateness = StepLateness(options.electionTimeout / 2)
    private var leader: Leader? = null
    private var leaderAddress: ReplicaAddress? = null
    private var lastLeaderContact: Moment? = null
    private var lastJoinRequest: Moment = now
    private var joinTargets = options.memberInstances

    /**
     * True once a candidate with an older log asked this replica. A learner in this position must campaign: the
     * candidate may count it as a voter by a later promotion, and can't win without it.
     */
    private var refusedOlderLog = false
    private var snapshotRequestedIndex = context.commitIndex

    /** Identity and instance of this replica. */
    public val address: ReplicaAddress get() = context.address

    /** The present term. */
    public val term: Long get() = context.term

    /** True while this replica leads its group, as far as it knows. */
    public val isLeader: Boolean get() = leader != null

    /** The instance of the leader of the present term; null if it is unknown or has been silent for too long. */
    public val leaderHint: InstanceName? get() = leaderAddress?.instance

    /** Index of the last entry that is known to be committed. */
    public val commitIndex: Long get() = context.commitIndex

    /** Index of the last entry of the log. */
    public val lastIndex: Long get() = context.log.lastIndex

    /** What of the log is in memory. */
    public val logSize: LogSize
        get() = context.log.let { LogSize(it.size.toLong(), it.commandBytes, it.snapshotBytes, context.sentBytes) }

    /** The latest configuration in the log, committed or not. */
    public val configuration: Configuration get() = context.log.configuration

    /** True once [configuration] is known to be committed. */
    public val isConfigurationCommitted: Boolean get() = context.log.configurationIndex <= context.commitIndex

    /** True while committed entries wait to be applied; another step applies the next ones, also without events. */
    public val hasUnapplied: Boolean get() = context.appliedIndex < context.commitIndex

    /** Handles [events] at the time [now] as one batch and returns the actions to carry out. */
    public fun step(now: Moment, events: List<ReplicaEvent>): List<ReplicaAction> {
        context.now = now
        noteLateness()
        events.forEach(::handle)
        leader?.flush()
        applyCommitted()
        leader?.answerReads()
        if (leader?.isRemoved == true) becomeFollower(term, null)
        return context.finish()
    }

    /** A leader that is late has time to read once: if its next step is late as well, it is judged as if in time. */
    private fun noteLateness() {
        val late = lateness.onStep(context.now)
        if (late == Duration.ZERO) return
        election.extendDeadline(late)
        lastLeaderContact = lastLeaderContact?.plus(late)
        if (lateness.isFirst) leader?.onLate()
    }

    private fun handle(event: ReplicaEvent) {
        when (event) {
            is ReplicaEvent.Tick -> onTick()

            is ReplicaEvent.Receive -> receive(event.message)

            is ReplicaEvent.Propose -> leader?.propose(event) ?: refuse(event.request)

            is ReplicaEvent.Read -> leader?.read(event.request) ?: refuse(event.request)

            is ReplicaEvent.ChangeMembership -> leader?.changeMembership(event) ?: refuse(event.request)

            is ReplicaEvent.Introduce -> {
                joinTargets = event.instances
                context.excluded = event.excluded
            }

            is ReplicaEvent.HandOver -> leader?.transfer()

            is ReplicaEvent.Stopped -> onStopped(event.instance)

            is ReplicaEvent.Persisted -> {
                context.log.onPersisted(event.sequence)
                context.outbox.onPersisted(event.sequence)
            }

            is ReplicaEvent.SnapshotSaved -> context.log.compact(event.snapshot, context.options.trailingEntries)
        }
    }

    private fun refuse(request: Long) {
        context.outbox.emit(ReplicaAction.Refuse(request, GroupFailure.NotLeader(leaderHint)))
    }

    private fun onTick() {
        lateness.onTick(context.now)
        val leading = leader
        if (leading != null) {
            if (!leading.onTick()) becomeFollower(term, null)
            return
        }
        if (election.isDue) leaderAddress = null
        if (election.isDue && (context.mayCampaign || refusedOlderLog)) election.start()
        requestToJoin()
    }

    private fun requestToJoin() {
        // A replica that was replaced while it was away is a member by its own log, but no leader sends it anything.
        if (leaderAddress != null && context.log.configuration.member(address.identifier) != null) return
        if (context.now - lastJoinRequest < context.options.electionTimeout) return
        lastJoinRequest = context.now
        for (instance in joinTargets) {
            if (instance == address.instance) continue
            val message = ReplicaMessage(address, null, term, JoinRequest)
            context.outbox.emit(ReplicaAction.Send(instance, message))
        }
    }

    private fun receive(message: ReplicaMessage) {
        if (message.to != null && message.to != address.identifier) return
        val content = message.content
        when (content) {
            is JoinRequest -> receiveJoin(message)

            is PreVoteRequest -> {
                // A replica that was replaced while it was away campaigns with its old configuration.
                leader?.onJoin(message.from)
                if (!context.log.isUpToDate(content.lastIndex, content.lastTerm)) refusedOlderLog = true
                election.answerPreVote(message.from, content, leaderIsAlive())
            }

            is PreVoteResponse -> {
                if (message.term > term) becomeFollower(message.term, null)
                election.onPreVoteResponse(message.from.identifier, content)
            }

            else -> {
                if (content is VoteRequest && !content.leaderAgrees && leaderIsAlive()) return
                if (message.term > term) becomeFollower(message.term, null)
                if (message.term < term) answerStale(message) else receiveInTerm(message.from, content)
            }
        }
    }

    /** Votes are refused while the leader is heard, so that removed or cut-off replicas can't disturb the group. */
    private fun leaderIsAlive(): Boolean {
        if (isLeader) return true
        val contact = lastLeaderContact ?: return false
        return context.now - contact < context.options.electionTimeout
    }

    private fun receiveInTerm(from: ReplicaAddress, content: ReplicaMessageContent) {
        when (content) {
            is VoteRequest -> election.answerVote(from, content)

            is VoteResponse -> election.onVoteResponse(from.identifier, content)

            is AppendRequest -> {
                hearLeader(from)
                follower.onAppend(from, content)
            }

            is SnapshotRequest -> {
                hearLeader(from)
                follower.onSnapshot(from, content)
            }

            is AppendResponse -> leader?.onAppendResponse(from.identifier, content)

            is SnapshotResponse -> leader?.onSnapshotResponse(from.identifier, content)

            is TakeOver -> if (leader == null && context.isVoter) takeOver()

            is JoinRequest, is PreVoteRequest, is PreVoteResponse -> Unit
        }
    }

    private fun receiveJoin(message: ReplicaMessage) {
        val leading = leader
        if (leading != null) return leading.onJoin(message.from)
        val known = leaderAddress ?: return
        if (message.from.instance == known.instance || message.from == address) return
        context.outbox.emit(ReplicaAction.Send(known.instance, message.copy(to = known.identifier)))
    }

    private fun takeOver() {
        leaderAddress = null
        election.takeOver()
    }

    private fun hearLeader(from: ReplicaAddress) {
        check(leader == null) { "two leaders in term $term: $address and $from" }
        if (leaderAddress != from) becomeFollower(term, from)
        election.cancel()
        election.expectLeader()
        lastLeaderContact = context.now
        refusedOlderLog = false
    }

    private fun onStopped(instance: InstanceName) {
        if (leaderAddress?.instance != instance || isLeader || lastLeaderContact == null) return
        lastLeaderContact = null
        election.expectNoLeader()
    }

    /** Answers the request of an old leader or candidate, so that it learns the present term. */
    private fun answerStale(message: ReplicaMessage) {
        when (val content = message.content) {
            is AppendRequest -> {
                val response = AppendResponse(false, content.previousIndex, lastIndex, 0)
                context.sendAfterSync(message.from, response)
            }

            is SnapshotRequest ->
                context.sendAfterSync(message.from, SnapshotResponse(content.snapshot.index, 0, complete = false, 0))

            is VoteRequest -> context.sendAfterSync(message.from, VoteResponse(false))

            else -> Unit
        }
    }

    private fun becomeFollower(newTerm: Long, newLeader: ReplicaAddress?) {
        if (newTerm > term) context.setHardState(newTerm, null)
        leaderAddress = newLeader
        election.cancel()
        val former = leader ?: return
        leader = null
        election.resetDeadline()
        former.abandon(leaderHint)
        context.outbox.emit(ReplicaAction.BecameFollower(newTerm, leaderHint))
    }

    private fun becomeLeader() {
        leaderAddress = address
        leader = Leader(context)
        context.outbox.emit(ReplicaAction.BecameLeader(term))
    }

    private fun applyCommitted() {
        val end = minOf(context.commitIndex, context.appliedIndex + context.options.maximumAppliedEntries)
        while (context.appliedIndex < end) {
            val index = ++context.appliedIndex
            context.outbox.emit(ReplicaAction.Apply(context.log[index], leader?.takeProposal(index)))
        }
        val last = maxOf(snapshotRequestedIndex, context.log.snapshot?.index ?: 0)
        val applied = context.appliedIndex
        if (applied - last < context.options.snapshotInterval) return
        snapshotRequestedIndex = applied
        val entry = context.log[applied]
        val configuration = context.log.configurationAt(applied)
        context.outbox.emit(
            ReplicaAction.TakeSnapshot(applied, entry.term, entry.timeMilliseconds, configuration),
        )
    }
}
