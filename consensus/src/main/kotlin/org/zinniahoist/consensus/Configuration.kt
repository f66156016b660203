package org.zinniahoist.consensus

import kotlinx.serialization.Serializable
import org.zinniahoist.model.InstanceName

/**
 * Identity of a replica, drawn at random when its folder is created.
 *
 * A replica whose disk was emptied has a new identity, so it can't vote a second time under the old one.
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

/** A replica and the instance on which it runs. */
@Serializable
public data class ReplicaAddress(
    public val identifier: ReplicaIdentifier,
    public val instance: InstanceName,
) {
    override fun toString(): String = "$instance/$identifier"
}

/** A replica of a group. A member without a vote is a learner. */
@Serializable
public data class Member(
    public val address: ReplicaAddress,
    public val voter: Boolean,
)

/**
 * The members of a group.
 *
 * Consecutive configurations of a log differ in at most one voter, or the later one is joint: it replaces voters in one
 * step, and every decision needs a majority of both sets of voters until a settled configuration follows.
 *
 * @property previousVoters the voters that are being left, if the configuration is joint, otherwise empty.
 */
@Serializable
public data class Configuration(
    public val members: List<Member>,
    public val previousVoters: List<ReplicaIdentifier> = emptyList(),
) {
    /** Identifiers of the members with a vote. */
    public val voters: List<ReplicaIdentifier>
        get() = members.filter { it.voter }.map { it.address.identifier }

    /** True while decisions need majorities of two sets of voters. */
    public val isJoint: Boolean get() = previousVoters.isNotEmpty()

    /** Returns the member with [identifier], or null. */
    public fun member(identifier: ReplicaIdentifier): Member? = members.find { it.address.identifier == identifier }

    /** Returns true if the member with [identifier] has a vote, in either set of voters. */
    public fun isVoter(identifier: ReplicaIdentifier): Boolean =
        identifier in previousVoters || member(identifier)?.voter == true

    /** Returns the largest value that a majority of each set of voters has reached. */
    internal fun quorumValue(valueOf: (ReplicaIdentifier) -> Long): Long {
        val current = majorityValue(voters, valueOf)
        return if (isJoint) minOf(current, majorityValue(previousVoters, valueOf)) else current
    }

    /** Returns true if [granted] holds a majority of each set of voters. */
    internal fun hasMajority(granted: Set<ReplicaIdentifier>): Boolean =
        quorumValue { if (it in granted) 1 else 0 } == 1L

    private fun majorityValue(voters: List<ReplicaIdentifier>, valueOf: (ReplicaIdentifier) -> Long): Long =
        voters.map(valueOf).sortedDescending().getOrElse(voters.size / 2) { 0 }

    /** Returns the joint configuration in which the learner [added] takes the vote of [removed]. */
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

    /** Returns the configuration that ends this joint one. */
    internal fun settled(): Configuration =
        Configuration(members.filter { it.voter || it.address.identifier !in previousVoters })

    internal fun withLearner(address: ReplicaAddress): Configuration = Configuration(
        members.filter { it.voter || it.address.instance != address.instance } + Member(address, voter = false),
    )

    internal fun promoted(identifier: ReplicaIdentifier): Configuration =
        Configuration(members.map { if (it.address.identifier == identifier) it.copy(voter = true) else it })

    internal fun without(identifier: ReplicaIdentifier): Configuration =
        Configuration(members.filter { it.address.identifier != identifier })

    public companion object {
        /** The configuration of a replica that has not heard of any group. */
        public val EMPTY: Configuration = Configuration(emptyList())
    }
}

/** A change to the members of a group that an operator asks for. */
public sealed interface MembershipChange {
    /** Adds a replica as a learner. The leader gives it a vote once it has caught up. */
    public data class Add(public val address: ReplicaAddress) : MembershipChange

    /** Removes a replica. */
    public data class Remove(public val identifier: ReplicaIdentifier) : MembershipChange

    /** Gives the vote of [removed] to [added], a learner that has caught up, in one step. */
    public data class Replace(
        public val removed: ReplicaIdentifier,
        public val added: ReplicaIdentifier,
    ) : MembershipChange
}
