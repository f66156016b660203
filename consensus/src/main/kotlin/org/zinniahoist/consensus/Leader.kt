package org.zinniahoist.consensus

import org.zinniahoist.consensus.ReplicaMessageContent.AppendResponse
import org.zinniahoist.consensus.ReplicaMessageContent.SnapshotResponse
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment

/** Leader role for one term: replicates and commits entries, serves reads and checks the quorum. */
internal class Leader(private val context: ReplicaContext) {
    private val log = context.log
    private val options = context.options
    private val progress = LinkedHashMap<ReplicaIdentifier, Progress>()
    private val replication = Replication(context)
    private val proposals = ArrayDeque<Proposal>()
    private val reads = ArrayDeque<PendingRead>()
    private var round = 0L
    private var roundRequested = false
    private var lastHeartbeat: Moment = context.now
    private var lastQuorumCheck: Moment = context.now
    private var quorumGraceUntil: Moment = context.now
    private val membership = Membership(context, progress)

    init {
        append(command = null, configuration = null, wallMilliseconds = 0)
        updatePeers()
        progress.values.forEach { replication.heartbeat(it, round) }
    }

    /** True once an entry of this term is committed; from then on the commit index includes all earlier terms. */
    private val isEstablished: Boolean get() = log.term(context.commitIndex) == context.term

    /**
     * True once the configuration in which this replica has no vote is committed.
     *
     * A learner with the longest log may have been elected because no voter could win. It keeps the leadership until a
     * majority holds its log; otherwise the group would elect it and lose it again in a loop.
     */
    val isRemoved: Boolean
        get() = !context.isVoter && isEstablished && log.configurationIndex <= context.commitIndex

    fun propose(event: ReplicaEvent.Propose) {
        val reason =
            when {
                event.command.size > options.maximumCommandBytes -> "the command exceeds the size limit"
                log.lastIndex - context.commitIndex >= options.maximumUncommittedEntries -> "too many proposals wait"
                else -> null
            }
        if (reason != null) {
            context.outbox.emit(ReplicaAction.FailRequest(event.request, GroupFailure.Unavailable(reason)))
            return
        }
        append(event.command, configuration = null, event.wallMilliseconds)
        proposals += Proposal(log.lastIndex, event.request)
    }

    fun changeMembership(event: ReplicaEvent.ChangeMembership) {
        val changed = if (isEstablished) membership.configurationAfter(event.change) else null
        if (changed == null) {
            val failure = GroupFailure.Unavailable("the change is invalid or another one is in progress")
            context.outbox.emit(ReplicaAction.FailRequest(event.request, failure))
            return
        }
        appendConfiguration(changed)
        proposals += Proposal(log.lastIndex, event.request)
    }

    fun read(request: Long) {
        reads += PendingRead(request)
        roundRequested = true
    }

    fun onJoin(from: ReplicaAddress) {
        if (isEstablished) membership.onJoin(from)?.let(::appendConfiguration)
    }

    /** Postpones the quorum check after a delayed step, because responses may still be queued. */
    fun onDelayedStep() {
        quorumGraceUntil = context.now + options.electionTimeout / 2
    }

    /** Returns false if this replica has lost contact with the majority and must step down. */
    fun onTick(): Boolean {
        if (context.now - lastHeartbeat >= options.heartbeatInterval) {
            lastHeartbeat = context.now
            progress.values.forEach { replication.heartbeat(it, round) }
        }
        progress.values.forEach { it.measureCatchUp(context.now, log.lastIndex, options) }
        if (isEstablished) membership.onTick()?.let(::appendConfiguration)
        if (context.now - lastQuorumCheck < options.electionTimeout) return true
        val since = lastQuorumCheck
        val reachable = progress.values.filter { it.lastContact >= since }.map { it.address.identifier }.toSet()
        val hasMajority = log.configuration.hasMajority(reachable + context.address.identifier)
        if (!hasMajority && context.now < quorumGraceUntil) return true
        lastQuorumCheck = context.now
        return hasMajority
    }

    fun onAppendResponse(from: ReplicaIdentifier, response: AppendResponse) {
        val peer = progress[from] ?: return
        recordContact(peer, response.round)
        replication.onAppendResponse(peer, response)
    }

    fun onSnapshotResponse(from: ReplicaIdentifier, response: SnapshotResponse) {
        val peer = progress[from] ?: return
        recordContact(peer, response.round)
        replication.onSnapshotResponse(peer, response, round)
    }

    private fun recordContact(peer: Progress, confirmedRound: Long) {
        peer.lastContact = context.now
        peer.confirmedRound = maxOf(peer.confirmedRound, confirmedRound)
    }

    /** Advances the commit index, then sends read confirmations and new entries. */
    fun flush() {
        val majority = quorumValue({ progress[it]?.matchIndex ?: 0 }) { log.persistedIndex }
        if (majority > context.commitIndex && log.term(majority) == context.term) context.commitIndex = majority
        // Reads that arrive during a round share the next one. Heartbeats repeat a lost round.
        if (roundRequested && isEstablished && round <= confirmedRound()) {
            assignReadRound()
            round++
            roundRequested = false
            progress.values.forEach { replication.requestConfirmation(it, round) }
        }
        progress.values.forEach { replication.sendEntries(it, round) }
    }

    /** Assigns the pending reads to the next round. The current commit index is their read index. */
    private fun assignReadRound() {
        for (read in reads.asReversed()) {
            if (read.round != 0L) break
            read.round = round + 1
            read.index = context.commitIndex
        }
    }

    /** Returns the last round confirmed by a majority. */
    private fun confirmedRound(): Long = quorumValue({ progress[it]?.confirmedRound ?: 0 }) { round }

    /** Answers the reads whose round is confirmed by a majority and whose read index is applied. */
    fun answerReads() {
        val confirmed = confirmedRound()
        while (reads.isNotEmpty()) {
            val read = reads.first()
            if (read.round == 0L || read.round > confirmed || read.index > context.appliedIndex) return
            context.outbox.emit(ReplicaAction.AnswerRead(reads.removeFirst().request))
        }
    }

    /** Removes and returns the request that proposed the entry at [index], or returns null if there is none. */
    fun takeProposal(index: Long): Long? =
        if (proposals.firstOrNull()?.index == index) proposals.removeFirst().request else null

    /** Fails all pending requests after the loss of leadership. */
    fun failPendingRequests(hint: InstanceName?) {
        val unknown = GroupFailure.OutcomeUnknown("leadership was lost before the command was committed")
        proposals.forEach { context.outbox.emit(ReplicaAction.FailRequest(it.request, unknown)) }
        reads.forEach { context.outbox.emit(ReplicaAction.FailRequest(it.request, GroupFailure.NotLeader(hint))) }
        proposals.clear()
        reads.clear()
    }

    private fun append(command: ByteArray?, configuration: Configuration?, wallMilliseconds: Long) {
        val time = maxOf(wallMilliseconds, log.lastTime)
        log.append(LogEntry(log.lastIndex + 1, context.term, time, command, configuration))
    }

    private fun appendConfiguration(configuration: Configuration) {
        append(command = null, configuration, wallMilliseconds = 0)
        updatePeers()
    }

    private fun updatePeers() {
        val peers = log.configuration.members.map { it.address }.filter { it != context.address }
        progress.keys.retainAll(peers.map { it.identifier }.toSet())
        for (peer in peers) {
            progress.getOrPut(peer.identifier) { Progress(peer, log.lastIndex, context.now) }
        }
    }

    private fun quorumValue(ofPeer: (ReplicaIdentifier) -> Long, ofSelf: () -> Long): Long =
        log.configuration.quorumValue { if (it == context.address.identifier) ofSelf() else ofPeer(it) }

    /** Transfers the leadership to the reachable voter with the longest log. Returns false if no voter is reachable. */
    fun transferLeadership(): Boolean {
        val successor = progress.values
            .filter { log.configuration.member(it.address.identifier)?.voter == true }
            .filter { context.now - it.lastContact < options.electionTimeout }
            .maxByOrNull { it.matchIndex }
            ?: return false
        context.send(successor.address, ReplicaMessageContent.TakeOver)
        return true
    }

    private class Proposal(
        val index: Long,
        val request: Long,
    )

    private class PendingRead(val request: Long) {
        var round = 0L
        var index = 0L
    }
}
