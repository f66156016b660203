package org.zinniahoist.consensus

import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteRequest
import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteResponse
import org.zinniahoist.consensus.ReplicaMessageContent.VoteRequest
import org.zinniahoist.consensus.ReplicaMessageContent.VoteResponse
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Campaigns of a replica and the votes it gives. */
internal class Election(
    private val context: ReplicaContext,
    private val becomeLeader: () -> Unit,
) {
    private enum class Phase { IDLE, PRE_VOTE, VOTE }

    private var phase = Phase.IDLE
    private val granted = HashSet<ReplicaIdentifier>()
    private var deadline: Moment = context.now

    /** Until then it is likely that no replica leads. */
    private var promptUntil: Moment = context.now

    init {
        expectNoLeader()
    }

    val isDue: Boolean get() = context.now >= deadline

    fun resetDeadline() {
        val shortest = context.options.electionTimeout.inWholeNanoseconds
        deadline = context.now + context.random.nextLong(shortest, 2 * shortest).nanoseconds
    }

    /** Campaigns soon, for a while. If a leader lives after all, those that hear it refuse the pre-vote. */
    fun expectNoLeader() {
        promptUntil = context.now + context.options.electionTimeout
        setPromptDeadline()
    }

    /** Waits for the silence of the leader again, which has been heard. */
    fun expectLeader() {
        promptUntil = context.now
        resetDeadline()
    }

    /** Waits longer by [late], a time in which this replica could hear nobody. */
    fun extendDeadline(late: Duration) {
        deadline += late
        promptUntil += late
    }

    private fun setPromptDeadline() {
        val shortest = context.options.promptElectionDelay.inWholeNanoseconds
        deadline = context.now + context.random.nextLong(shortest, 3 * shortest).nanoseconds
    }

    fun cancel() {
        phase = Phase.IDLE
    }

    /** Starts a pre-vote, so that a replica that can't win doesn't disturb the group with a new term. */
    fun start() {
        phase = Phase.PRE_VOTE
        granted.clear()
        granted += context.address.identifier
        if (context.now < promptUntil) setPromptDeadline() else resetDeadline()
        val request = PreVoteRequest(context.term + 1, context.log.lastIndex, context.log.lastTerm)
        otherVoters().forEach { context.sendAfterSync(it, request) }
        if (hasMajority()) campaign()
    }

    fun answerPreVote(from: ReplicaAddress, request: PreVoteRequest, leaderIsAlive: Boolean) {
        val grant =
            !leaderIsAlive &&
                request.nextTerm > context.term &&
                context.log.isUpToDate(request.lastIndex, request.lastTerm)
        context.sendAfterSync(from, PreVoteResponse(request.nextTerm, grant))
    }

    fun onPreVoteResponse(from: ReplicaIdentifier, response: PreVoteResponse) {
        if (phase != Phase.PRE_VOTE || !response.granted || response.nextTerm != context.term + 1) return
        granted += from
        if (hasMajority()) campaign()
    }

    fun answerVote(from: ReplicaAddress, request: VoteRequest) {
        val free = context.vote == null || context.vote == from.identifier
        val grant = free && context.log.isUpToDate(request.lastIndex, request.lastTerm)
        if (grant) {
            context.setHardState(context.term, from.identifier)
            resetDeadline()
        }
        context.sendAfterSync(from, VoteResponse(grant))
    }

    fun onVoteResponse(from: ReplicaIdentifier, response: VoteResponse) {
        if (phase != Phase.VOTE || !response.granted) return
        granted += from
        winIfMajority()
    }

    /** Starts an election without a pre-vote, because the leader asked for it. */
    fun takeOver() = campaign(leaderAgrees = true)

    private fun campaign(leaderAgrees: Boolean = false) {
        phase = Phase.VOTE
        granted.clear()
        context.setHardState(context.term + 1, context.address.identifier)
        resetDeadline()
        val request = VoteRequest(context.log.lastIndex, context.log.lastTerm, leaderAgrees)
        otherVoters().forEach { context.sendAfterSync(it, request) }
        val term = context.term
        context.outbox.afterSync {
            if (phase == Phase.VOTE && context.term == term) {
                granted += context.address.identifier
                winIfMajority()
            }
        }
    }

    private fun winIfMajority() {
        if (!hasMajority()) return
        phase = Phase.IDLE
        becomeLeader()
    }

    private fun otherVoters(): List<ReplicaAddress> = context.log.configuration.members
        .filter { context.log.configuration.isVoter(it.address.identifier) && it.address != context.address }
        .map { it.address }

    private fun hasMajority(): Boolean = context.log.configuration.hasMajority(granted)
}
