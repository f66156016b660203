package org.zinniahoist.consensus

import kotlinx.serialization.Serializable
import org.zinniahoist.model.InstanceName

/**
 * Identifier of a replica, generated at random when its folder is created.
 *
 * A replica whose disk was erased gets a new identifier, so that it can't vote twice in a term under the old one.
 */
@JvmInline
@Serializable
public value class ReplicaIdentifier(public val value: Long) : Comparable<ReplicaIdentifier> {
    override fun compareTo(other: ReplicaIdentifier): Int = value.compareTo(other.value)

    override fun toString(): String = value.toULong().toString(HEXADECIMAL)

    private companion object {
        const val HEXADECIMAL = 16
    }
}

/** Identifier of a replica and the instance on which it runs. */
@Serializable
public data class ReplicaAddress(
    public val identifier: ReplicaIdentifier,
    public val instance: InstanceName,
) {
    override fun toString(): String = "$instance/$identifier"
}

/** Member of a group. A member without a vote is a learner. */
@Serializable
public data class Member(
    public val address: ReplicaAddress,
    public val voter: Boolean,
)

/**
 * The members of a group.
 *
 * Consecutive configurations in a log differ in at most one voter, unless the later one is joint. A joint configuration
 * replaces voters in one step: until it is followed by one that is not joint, every decision needs a majority of both
 * sets of voters.
 *
 * @property previousVoters the outgoing voters if the configuration is joint, otherwise empty.
 */
@Serializable
public data class Configuration(
    public val members: List<Member>,
    public val previousVoters: List<ReplicaIdentifier> = emptyList(),
) {
    /** Identifiers of the members with a vote. */
    public val voters: List<ReplicaIdentifier>
        get() = members.filter { it.voter }.map { it.address.identifier }

    /** True if decisions need a majority of both the previous and the new voters. */
    public val isJoint: Boolean get() = previousVoters.isNotEmpty()

    /** Returns the member with [identifier], or null. */
    public fun member(identifier: ReplicaIdentifier): Member? = members.find { it.address.identifier == identifier }

    /** Returns true if the member with [identifier] has a vote, in either set of voters. */
    public fun isVoter(identifier: ReplicaIdentifier): Boolean =
        identifier in previousVoters || member(identifier)?.voter == true

    /** Returns the largest value reached by a majority of each set of voters. */
    internal fun quorumValue(valueOf: (ReplicaIdentifier) -> Long): Long {
        val current = majorityValue(voters, valueOf)
        return if (isJoint) minOf(current, majorityValue(previousVoters, valueOf)) else current
    }

    /** Returns true if [granted] contains a majority of each set of voters. */
    internal fun hasMajority(granted: Set<ReplicaIdentifier>): Boolean =
        quorumValue { if (it in granted) 1 else 0 } == 1L

    private fun majorityValue(voters: List<ReplicaIdentifier>, valueOf: (ReplicaIdentifier) -> Long): Long =
        voters.map(valueOf).sortedDescending().getOrElse(voters.size / 2) { 0 }

    /** Returns the joint configuration that replaces the voter [removed] by the learner [added]. */
    internal fun replacing(removed: ReplicaIdentifier, added: ReplicaIdentifier): Configuration = Configuration(
        members.map {
            when (it.address.identifier) {
                added -> it.copy(voter = true)
                removed -> it.copy(voter = false)
                else -> it
            }
        },
        previousVoters = voters,
    )

    /** Returns the configuration with the new voters only, which follows this joint one. */
    internal fun withoutPreviousVoters(): Configuration =
        Configuration(members.filter { it.voter || it.address.identifier !in previousVoters })

    internal fun withLearner(address: ReplicaAddress): Configuration = Configuration(
        members.filter { it.voter || it.address.instance != address.instance } + Member(address, voter = false),
    )

    internal fun promoted(identifier: ReplicaIdentifier): Configuration =
        Configuration(members.map { if (it.address.identifier == identifier) it.copy(voter = true) else it })

    internal fun without(identifier: ReplicaIdentifier): Configuration =
        Configuration(members.filter { it.address.identifier != identifier })

    public companion object {
        /** The configuration of a replica that belongs to no group yet. */
        public val EMPTY: Configuration = Configuration(emptyList())
    }
}

/**
 * A committed configuration with its position in the log.
 *
 * Of two different configurations, the one with the larger [index] is the newer one. Replicas may state the same
 * configuration with different indexes, because a snapshot replaces the entry that contained it.
 *
 * @property index index of an entry at which [configuration] was in force; 0 if no configuration is committed.
 */
public data class PositionedConfiguration(
    public val index: Long,
    public val configuration: Configuration,
)

/** Membership change requested by an operator. */
public sealed interface MembershipChange {
    /** Adds a replica as a learner. The leader promotes it to voter once it has caught up. */
    public data class Add(public val address: ReplicaAddress) : MembershipChange

    /** Removes a replica. */
    public data class Remove(public val identifier: ReplicaIdentifier) : MembershipChange

    /** Replaces the voter [removed] by [added], a learner that has caught up, through a joint configuration. */
    public data class Replace(
        public val removed: ReplicaIdentifier,
        public val added: ReplicaIdentifier,
    ) : MembershipChange
}
