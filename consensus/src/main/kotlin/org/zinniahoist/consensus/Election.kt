package org.zinniahoist.consensus

import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteRequest
import org.zinniahoist.consensus.ReplicaMessageContent.PreVoteResponse
import org.zinniahoist.consensus.ReplicaMessageContent.VoteRequest
import org.zinniahoist.consensus.ReplicaMessageContent.VoteResponse
import org.zinniahoist.model.Moment
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Runs the campaigns of a replica and decides on its votes. */
internal class Election(
    private val context: ReplicaContext,
    private val becomeLeader: () -> Unit,
) {
    private enum class Phase { IDLE, PRE_VOTE, VOTE }

    private var phase = Phase.IDLE
    private val granted = HashSet<ReplicaIdentifier>()
    private var deadline: Moment = context.now

    /** End of the period in which [ReplicaOptions.shortElectionDelay] applies. */
    private var shortDelayUntil: Moment = context.now

    /** Term in which this replica last deferred its campaign to another candidate, or null. */
    private var deferredInTerm: Long? = null

    init {
        useShortDelay()
    }

    val isDue: Boolean get() = context.now >= deadline

    fun resetDeadline() {
        val minimum = context.options.electionTimeout.inWholeNanoseconds
        deadline = context.now + context.random.nextLong(minimum, 2 * minimum).nanoseconds
    }

    /**
     * Shortens the campaign delay to [ReplicaOptions.shortElectionDelay] for some election timeouts, because the group
     * probably has no leader. If there is one after all, the replicas in contact with it reject the pre-vote.
     */
    fun useShortDelay() {
        shortDelayUntil = context.now + context.options.electionTimeout * SHORT_DELAY_TIMEOUTS
        setDeadline(context.options.shortElectionDelay)
    }

    /** Restarts the election timeout at its normal length after contact with the leader. */
    fun useElectionTimeout() {
        shortDelayUntil = context.now
        resetDeadline()
    }

    /** Extends the deadlines by [delay], a period in which this replica processed no messages. */
    fun extendDeadline(delay: Duration) {
        deadline += delay
        shortDelayUntil += delay
    }

    /** Sets the deadline to a random time from [minimum] to three times [minimum] from now. */
    private fun setDeadline(minimum: Duration) {
        val nanoseconds = minimum.inWholeNanoseconds
        deadline = context.now + context.random.nextLong(nanoseconds, 3 * nanoseconds).nanoseconds
    }

    /** Sets the deadline of a campaign phase, which is [shortDelay] at least in the period of short delays. */
    private fun setCampaignDeadline(shortDelay: Duration) {
        if (context.now < shortDelayUntil) setDeadline(shortDelay) else resetDeadline()
    }

    fun cancel() {
        phase = Phase.IDLE
    }

    /** Starts a pre-vote, so that a replica that can't win doesn't disrupt the group with a higher term. */
    fun start() {
        phase = Phase.PRE_VOTE
        granted.clear()
        granted += context.address.identifier
        setCampaignDeadline(context.options.shortElectionDelay)
        val request = PreVoteRequest(context.term + 1, context.log.lastIndex, context.log.lastTerm)
        otherVoters().forEach { context.sendAfterSync(it, request) }
        if (hasMajority()) campaign()
    }

    fun onPreVoteRequest(from: ReplicaAddress, request: PreVoteRequest, leaderIsAlive: Boolean) {
        val grant =
            !leaderIsAlive &&
                request.nextTerm > context.term &&
                context.log.isUpToDate(request.lastIndex, request.lastTerm)
        context.sendAfterSync(from, PreVoteResponse(request.nextTerm, grant))
        if (grant) deferTo(from)
    }

    /**
     * Defers the own campaign to [candidate], because candidates that start together split the votes. Of two replicas
     * in the pre-vote phase, the one with the smaller identifier defers. A replica defers once in a term, in case the
     * candidate can't reach a majority.
     */
    private fun deferTo(candidate: ReplicaAddress) {
        val hasPriority = phase == Phase.PRE_VOTE && context.address.identifier.value > candidate.identifier.value
        if (phase == Phase.VOTE || hasPriority) return
        if (context.now >= shortDelayUntil || deferredInTerm == context.term) return
        deferredInTerm = context.term
        phase = Phase.IDLE
        setDeadline(context.options.shortElectionDelay * VOTE_DELAY_FACTOR)
    }

    fun onPreVoteResponse(from: ReplicaIdentifier, response: PreVoteResponse) {
        if (phase != Phase.PRE_VOTE || !response.granted || response.nextTerm != context.term + 1) return
        granted += from
        if (hasMajority()) campaign()
    }

    fun onVoteRequest(from: ReplicaAddress, request: VoteRequest) {
        val canVote = context.vote == null || context.vote == from.identifier
        val grant = canVote && context.log.isUpToDate(request.lastIndex, request.lastTerm)
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

    /** Starts an election without a pre-vote, as part of a leadership transfer. */
    fun campaignAfterTransfer() = campaign(leaderAgrees = true)

    private fun campaign(leaderAgrees: Boolean = false) {
        phase = Phase.VOTE
        granted.clear()
        context.setHardState(context.term + 1, context.address.identifier)
        setCampaignDeadline(context.options.shortElectionDelay * VOTE_DELAY_FACTOR)
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

    private companion object {
        /** Election timeouts for which short delays apply. The replicas of a group may need this long to start. */
        const val SHORT_DELAY_TIMEOUTS = 3

        /** Factor of the short delay that leaves time for a vote, which takes a sync of two replicas. */
        const val VOTE_DELAY_FACTOR = 2
    }
}
