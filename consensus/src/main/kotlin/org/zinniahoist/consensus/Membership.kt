package org.zinniahoist.consensus

import org.zinniahoist.model.InstanceName

/**
 * Decides on configuration changes. Only one change may be uncommitted at a time.
 *
 * Voters are added and removed one at a time. A replacement uses a joint configuration: removing the old voter first
 * would leave one voter fewer for a second failure, and adding the new one first would make the majority depend on its
 * disk.
 */
internal class Membership(
    private val context: ReplicaContext,
    private val progress: Map<ReplicaIdentifier, Progress>,
) {
    private val configuration: Configuration get() = context.log.configuration
    private val isConfigurationCommitted: Boolean get() = context.log.configurationIndex <= context.commitIndex

    /** Returns the configuration after [change], or null if it is not allowed now. */
    fun configurationAfter(change: MembershipChange): Configuration? {
        if (!isConfigurationCommitted || configuration.isJoint) return null
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
        if (!isConfigurationCommitted || configuration.isJoint || !isAdmissible(from.instance)) return null
        if (configuration.member(from.identifier) != null || from.instance == context.address.instance) return null
        val sameInstance = configuration.members.filter { it.address.instance == from.instance }
        if (sameInstance.any { isReachable(it.address.identifier) }) return null
        val isNeeded = sameInstance.isNotEmpty() || configuration.voters.size < context.options.targetVoters
        val learners = configuration.members.filter { !it.voter && it.address.instance != from.instance }
        val absentLearner = learners.find { isAbsent(it.address.identifier) }
        if (isNeeded || learners.size < context.options.spareLearners) return configuration.withLearner(from)
        return absentLearner?.let { configuration.without(it.address.identifier).withLearner(from) }
    }

    private fun isAdmissible(instance: InstanceName): Boolean = instance !in context.excluded &&
        (context.options.acceptsUnknownInstances || instance in context.options.memberInstances)

    /** Returns the next configuration towards the promotion of a learner, or null if no change is due. */
    fun onTick(): Configuration? {
        if (!isConfigurationCommitted) return null
        if (configuration.isJoint) return configuration.withoutPreviousVoters()
        val ready = configuration.members
            .filter { !it.voter && it.address.instance !in context.excluded && isReady(it.address.identifier) }
        for (learner in ready) replacementBy(learner.address)?.let { return it }
        val learner = ready.firstOrNull() ?: return null
        return if (canAddVoter()) configuration.promoted(learner.address.identifier) else null
    }

    /** An added voter raises the majority, so the group grows only while all voters are reachable. */
    private fun canAddVoter(): Boolean = configuration.voters.size < context.options.targetVoters &&
        configuration.voters.all { it == context.address.identifier || isReachable(it) }

    /**
     * Returns the configuration in which [learner] replaces a voter on the same instance, which has lost its disk, or
     * else an unreachable voter. Returns null if there is no such voter.
     */
    private fun replacementBy(learner: ReplicaAddress): Configuration? {
        val others = configuration.members.filter { it.voter && it.address != context.address }
        val replaced = others.find { it.address.instance == learner.instance }
            ?: others.find { isAbsent(it.address.identifier) }
            ?: return null
        return configuration.replacing(replaced.address.identifier, learner.identifier)
    }

    private fun isReady(identifier: ReplicaIdentifier): Boolean =
        progress[identifier]?.caughtUp == true && isReachable(identifier)

    private fun isReachable(identifier: ReplicaIdentifier): Boolean {
        val contact = progress[identifier]?.lastContact ?: return false
        return context.now - contact < context.options.electionTimeout
    }

    private fun isAbsent(identifier: ReplicaIdentifier): Boolean {
        val contact = progress[identifier]?.lastContact ?: return true
        return context.now - contact >= context.options.absenceLimit
    }
}
