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
 * State machine of one Raft replica: maps events and the current time to actions.
 *
 * It performs no I/O, reads no clock and starts no thread. The caller executes the returned actions in order. Not
 * thread-safe.
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
    private val stepDelayMeter = StepDelayMeter(options.electionTimeout / 2)
    private var leader: Leader? = null
    private var leaderAddress: ReplicaAddress? = null
    private var lastLeaderContact: Moment? = null

    /** Largest commit index that a leader has stated; null until it sends entries after a snapshot. */
    private var leaderCommitIndex: Long? = null
    private var lastJoinRequest: Moment = now
    private var joinTargets = options.memberInstances

    /**
     * True after this replica received a pre-vote request from a candidate whose log is less up to date. A learner in
     * this state must campaign: the candidate may already have the learner's promotion in its configuration, and then
     * can't win without this vote.
     */
    private var rejectedOutdatedCandidate = false
    private var snapshotRequestedIndex = context.commitIndex

    /** Identifier and instance of this replica. */
    public val address: ReplicaAddress get() = context.address

    /** The current term. */
    public val term: Long get() = context.term

    /** True while this replica considers itself the leader of its group. */
    public val isLeader: Boolean get() = leader != null

    /** Instance of the leader of the current term; null if it is unknown or the election timeout has expired. */
    public val leaderHint: InstanceName? get() = leaderAddress?.instance

    /** Index of the last entry known to be committed. */
    public val commitIndex: Long get() = context.commitIndex

    /** Index of the last entry of the log. */
    public val lastIndex: Long get() = context.log.lastIndex

    /** Memory use of the log. */
    public val logSize: LogSize
        get() = context.log.let { LogSize(it.size.toLong(), it.commandBytes, it.snapshotBytes, context.sentBytes) }

    /** The latest configuration in the log, committed or not. */
    public val configuration: Configuration get() = context.log.configuration

    /** True once [configuration] is known to be committed. */
    public val isConfigurationCommitted: Boolean get() = context.log.configurationIndex <= context.commitIndex

    /** The latest configuration that is known to be committed. */
    public val committedConfiguration: PositionedConfiguration
        get() = context.log.positionedConfigurationAt(context.commitIndex)

    /**
     * True if this replica knows as committed whatever its leader did when they were last in contact. False while it
     * replays the log or catches up, and before the leader has committed an entry of its term.
     */
    public val isCaughtUp: Boolean
        get() = leaderAddress != null && context.log.term(context.commitIndex) == term && knowsLeaderCommits

    private val knowsLeaderCommits: Boolean
        get() = isLeader || leaderCommitIndex?.let { context.commitIndex >= it } == true

    /** True while committed entries are not yet applied; the next [step] applies more of them, even without events. */
    public val hasUnapplied: Boolean get() = context.appliedIndex < context.commitIndex

    /** Processes [events] as one batch at time [now] and returns the actions to execute. */
    public fun step(now: Moment, events: List<ReplicaEvent>): List<ReplicaAction> {
        context.now = now
        compensateStepDelay()
        events.forEach(::handle)
        leader?.flush()
        applyCommitted()
        leader?.answerReads()
        if (leader?.isRemoved == true) becomeFollower(term, null)
        return context.finish()
    }

    /**
     * Extends deadlines by the delay of this step, because messages of the peers may still be queued. A leader gets
     * only one extension: a second delayed step in a row doesn't postpone its quorum check.
     */
    private fun compensateStepDelay() {
        val delay = stepDelayMeter.onStep(context.now)
        if (delay == Duration.ZERO) return
        election.extendDeadline(delay)
        lastLeaderContact = lastLeaderContact?.plus(delay)
        if (stepDelayMeter.isFirstDelayed) leader?.onDelayedStep()
    }

    private fun handle(event: ReplicaEvent) {
        when (event) {
            is ReplicaEvent.Tick -> onTick()

            is ReplicaEvent.Receive -> receive(event.message)

            is ReplicaEvent.Propose -> leader?.propose(event) ?: rejectAsNotLeader(event.request)

            is ReplicaEvent.Read -> leader?.read(event.request) ?: rejectAsNotLeader(event.request)

            is ReplicaEvent.ChangeMembership -> leader?.changeMembership(event) ?: rejectAsNotLeader(event.request)

            is ReplicaEvent.SetJoinTargets -> {
                joinTargets = event.instances
                context.excluded = event.excluded
            }

            is ReplicaEvent.TransferLeadership -> leader?.transferLeadership()

            is ReplicaEvent.PeerStopped -> onStopped(event.instance)

            is ReplicaEvent.Persisted -> {
                context.log.onPersisted(event.sequence)
                context.outbox.onPersisted(event.sequence)
            }

            is ReplicaEvent.SnapshotSaved -> context.log.compact(event.snapshot, context.options.trailingEntries)
        }
    }

    private fun rejectAsNotLeader(request: Long) {
        context.outbox.emit(ReplicaAction.FailRequest(request, GroupFailure.NotLeader(leaderHint)))
    }

    private fun onTick() {
        stepDelayMeter.onTick(context.now)
        val currentLeader = leader
        if (currentLeader != null) {
            if (!currentLeader.onTick()) becomeFollower(term, null)
            return
        }
        if (election.isDue) leaderAddress = null
        if (election.isDue && (context.mayCampaign || rejectedOutdatedCandidate)) election.start()
        requestToJoin()
    }

    private fun requestToJoin() {
        // A replica that was replaced while offline is still a member in its own log, but no leader contacts it.
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
            is JoinRequest -> receiveJoinRequest(message)

            is PreVoteRequest -> {
                // A replica that was replaced while offline campaigns with its outdated configuration.
                leader?.onJoin(message.from)
                if (!context.log.isUpToDate(content.lastIndex, content.lastTerm)) rejectedOutdatedCandidate = true
                election.onPreVoteRequest(message.from, content, leaderIsAlive())
            }

            is PreVoteResponse -> {
                if (message.term > term) becomeFollower(message.term, null)
                election.onPreVoteResponse(message.from.identifier, content)
            }

            else -> {
                if (content is VoteRequest && !content.leaderAgrees && leaderIsAlive()) return
                if (message.term > term) becomeFollower(message.term, null)
                if (message.term < term) rejectStale(message) else receiveInTerm(message.from, content)
            }
        }
    }

    /** Votes are rejected while the leader is in contact, so that removed or partitioned replicas can't disrupt it. */
    private fun leaderIsAlive(): Boolean {
        if (isLeader) return true
        val contact = lastLeaderContact ?: return false
        return context.now - contact < context.options.electionTimeout
    }

    private fun receiveInTerm(from: ReplicaAddress, content: ReplicaMessageContent) {
        when (content) {
            is VoteRequest -> election.onVoteRequest(from, content)

            is VoteResponse -> election.onVoteResponse(from.identifier, content)

            is AppendRequest -> {
                onLeaderContact(from)
                leaderCommitIndex = maxOf(leaderCommitIndex ?: 0, content.commitIndex)
                follower.onAppend(from, content)
            }

            is SnapshotRequest -> {
                onLeaderContact(from)
                leaderCommitIndex = null
                follower.onSnapshot(from, content)
            }

            is AppendResponse -> leader?.onAppendResponse(from.identifier, content)

            is SnapshotResponse -> leader?.onSnapshotResponse(from.identifier, content)

            is TakeOver -> if (leader == null && context.isVoter) campaignAfterTransfer()

            is JoinRequest, is PreVoteRequest, is PreVoteResponse -> Unit
        }
    }

    private fun receiveJoinRequest(message: ReplicaMessage) {
        val currentLeader = leader
        if (currentLeader != null) return currentLeader.onJoin(message.from)
        val knownLeader = leaderAddress ?: return
        if (message.from.instance == knownLeader.instance || message.from == address) return
        context.outbox.emit(ReplicaAction.Send(knownLeader.instance, message.copy(to = knownLeader.identifier)))
    }

    private fun campaignAfterTransfer() {
        leaderAddress = null
        election.campaignAfterTransfer()
    }

    private fun onLeaderContact(from: ReplicaAddress) {
        check(leader == null) { "two leaders in term $term: $address and $from" }
        if (leaderAddress != from) becomeFollower(term, from)
        election.cancel()
        election.useElectionTimeout()
        lastLeaderContact = context.now
        rejectedOutdatedCandidate = false
    }

    private fun onStopped(instance: InstanceName) {
        if (leaderAddress?.instance != instance || isLeader || lastLeaderContact == null) return
        lastLeaderContact = null
        election.useShortDelay()
    }

    /** Rejects a request of an earlier term, so that its sender learns the current term. */
    private fun rejectStale(message: ReplicaMessage) {
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
        val formerLeader = leader ?: return
        leader = null
        election.resetDeadline()
        formerLeader.failPendingRequests(leaderHint)
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
