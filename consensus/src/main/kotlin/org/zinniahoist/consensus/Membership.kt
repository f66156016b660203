package org.zinniahoist.consensus

/**
 * Decides on changes of the configuration. Each change adds or removes at most one voter, and none is made while
 * another is uncommitted.
 */
internal class Membership(
    private val context: ReplicaContext,
    private val progress: Map<ReplicaIdentifier, Progress>,
) {
    private val configuration: Configuration get() = context.log.configuration
    private val isSettled: Boolean get() = context.log.configurationIndex <= context.commitIndex

    /** Returns the configuration after [change], or null if it is not allowed now. */
    fun changed(change: MembershipChange): Configuration? {
        if (!isSettled) return null
        return when (change) {
            is MembershipChange.Add -> {
                if (configuration.member(change.address.identifier) != null) return null
                configuration.withLearner(change.address)
            }

            is MembershipChange.Remove -> {
                if (configuration.member(change.identifier) == null) return null
                configuration.without(change.identifier).takeIf { it.voters.isNotEmpty() }
            }
        }
    }

    /** Returns the configuration with [from] as a learner, or null if [from] may not join now. */
    fun onJoin(from: ReplicaAddress): Configuration? {
        if (!isSettled || from.instance !in context.options.memberInstances) return null
        if (configuration.member(from.identifier) != null || from.instance == context.address.instance) return null
        val sameInstance = configuration.members.filter { it.address.instance == from.instance }
        if (sameInstance.any { isPresent(it.address.identifier) }) return null
        return configuration.withLearner(from)
    }

    /**
     * Returns the next configuration on the way of a learner to a vote, or null if there is none.
     *
     * A replica that the learner replaces on the same instance is removed first: replacing it in one step could give
     * two disjoint majorities.
     */
    fun onTick(): Configuration? {
        if (!isSettled) return null
        val learner =
            configuration.members.find {
                !it.voter && progress[it.address.identifier]?.caughtUp == true && isPresent(it.address.identifier)
            } ?: return null
        val replaced =
            configuration.members.find {
                it.voter && it.address.instance == learner.address.instance && it.address != context.address
            }
        return if (replaced != null) {
            configuration.without(replaced.address.identifier)
        } else {
            configuration.promoted(learner.address.identifier)
        }
    }

    private fun isPresent(identifier: ReplicaIdentifier): Boolean {
        val contact = progress[identifier]?.lastContact ?: return false
        return context.now - contact < context.options.electionTimeout
    }
}
