package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/**
 * Decides on changes of the configuration. None is made while another is uncommitted.
 *
 * A voter is added or removed alone. A voter is replaced by a joint configuration: without one, the group would have to
 * bear a second loss with one voter less, or with a new voter on whose disk the majority already depends.
 */
internal class Membership(
    private val context: ReplicaContext,
    private val progress: Map<ReplicaIdentifier, Progress>,
) {
    private val configuration: Configuration get() = context.log.configuration
    private val isSettled: Boolean get() = context.log.configurationIndex <= context.commitIndex

    /** Returns the configuration after [change], or null if it is not allowed now. */
    fun changed(change: MembershipChange): Configuration? {
        if (!isSettled || configuration.isJoint) return null
        return when (change) {
            is MembershipChange.Add -> {
                if (configuration.member(change.address.identifier) != null) return null
                configuration.withLearner(change.address)
            }

            is MembershipChange.Remove -> {
                if (configuration.member(change.identifier) == null) return null
                configuration.without(change.identifier).takeIf { it.voters.isNotEmpty() }
            }

            is MembershipChange.Replace -> {
                val valid = configuration.member(change.removed)?.voter == true && isReady(change.added)
                if (valid) configuration.replacing(change.removed, change.added) else null
            }
        }
    }

    /** Returns the configuration with [from] as a learner, or null if [from] may not join now. */
    fun onJoin(from: ReplicaAddress): Configuration? {
        if (!isSettled || configuration.isJoint || !isAdmissible(from.instance)) return null
        if (configuration.member(from.identifier) != null || from.instance == context.address.instance) return null
        val sameInstance = configuration.members.filter { it.address.instance == from.instance }
        if (sameInstance.any { isPresent(it.address.identifier) }) return null
        val isNeeded = sameInstance.isNotEmpty() || configuration.voters.size < context.options.targetVoters
        val learners = configuration.members.filter { !it.voter && it.address.instance != from.instance }
        val goneLearner = learners.find { isAbsent(it.address.identifier) }
        if (isNeeded || learners.size < context.options.spareLearners) return configuration.withLearner(from)
        return goneLearner?.let { configuration.without(it.address.identifier).withLearner(from) }
    }

    private fun isAdmissible(instance: InstanceName): Boolean = instance !in context.excluded &&
        (context.options.acceptsUnknownInstances || instance in context.options.memberInstances)

    /** Returns the next configuration on the way of a learner to a vote, or null if there is none. */
    fun onTick(): Configuration? {
        if (!isSettled) return null
        if (configuration.isJoint) return configuration.settled()
        val ready = configuration.members
            .filter { !it.voter && it.address.instance !in context.excluded && isReady(it.address.identifier) }
        for (learner in ready) replacementBy(learner.address)?.let { return it }
        val learner = ready.firstOrNull() ?: return null
        return if (mayGrow()) configuration.promoted(learner.address.identifier) else null
    }

    /** With a voter more, a majority would need a voter that is away: the group grows only while all are present. */
    private fun mayGrow(): Boolean = configuration.voters.size < context.options.targetVoters &&
        configuration.voters.all { it == context.address.identifier || isPresent(it) }

    /** A voter on the same instance lost its disk; otherwise a voter that stays silent is replaced. */
    private fun replacementBy(learner: ReplicaAddress): Configuration? {
        val others = configuration.members.filter { it.voter && it.address != context.address }
        val replaced = others.find { it.address.instance == learner.instance }
            ?: others.find { isAbsent(it.address.identifier) }
            ?: return null
        return configuration.replacing(replaced.address.identifier, learner.identifier)
    }

    private fun isReady(identifier: ReplicaIdentifier): Boolean =
        progress[identifier]?.caughtUp == true && isPresent(identifier)

    private fun isPresent(identifier: ReplicaIdentifier): Boolean {
        val contact = progress[identifier]?.lastContact ?: return false
        return context.now - contact < context.options.electionTimeout
    }

    private fun isAbsent(identifier: ReplicaIdentifier): Boolean {
        val contact = progress[identifier]?.lastContact ?: return true
        return context.now - contact >= context.options.absenceLimit
    }
}
