package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.consensus.Configuration
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.Member
import org.zinniahoist.consensus.MembershipChange
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.time.Duration.Companion.milliseconds

/** Moves replicas off machines that are being drained, by changes of the group membership. */
internal class Retirements(
    private val host: GroupHost,
    private val targetVoters: Int,
) {
    private var lastAttempt: Moment? = null

    /** Returns true if enough replicas remain without those on [instance] and on [others], which retire too. */
    fun mayRetire(instance: InstanceName, others: Set<InstanceName>): Boolean {
        val remaining = host.status.configuration.members.filter { it.address.instance !in others + instance }
        return remaining.size >= targetVoters
    }

    /** Returns true once a committed, non-joint configuration contains no replica on [instance]. */
    fun isComplete(instance: InstanceName): Boolean {
        val status = host.status
        val configuration = status.configuration
        return status.isConfigurationCommitted &&
            !configuration.isJoint &&
            configuration.members.none { it.address.instance == instance }
    }

    /** Starts the next membership change if this replica is the leader. */
    fun tick(retiring: Set<InstanceName>, now: Moment) {
        val status = host.status
        if (!status.isLeader || retiring.isEmpty()) return
        if (lastAttempt?.let { now - it < ATTEMPT_INTERVAL } == true) return
        val change = nextChange(status.configuration, retiring) ?: return
        lastAttempt = now
        logger.info { "event=retirement-step change=$change" }
        host.changeMembership(change)
    }

    private fun nextChange(configuration: Configuration, retiring: Set<InstanceName>): MembershipChange? {
        val leaving = configuration.members.filter { it.address.instance in retiring }
        leaving.find { !it.voter }?.let { return MembershipChange.Remove(it.address.identifier) }
        val voter: Member = leaving.firstOrNull() ?: return null
        val spare = configuration.members.find { !it.voter && it.address.instance !in retiring }
        if (spare != null) return MembershipChange.Replace(voter.address.identifier, spare.address.identifier)
        val isSurplus = configuration.voters.size > targetVoters
        return if (isSurplus) MembershipChange.Remove(voter.address.identifier) else null
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** Retry interval: a change is rejected until the spare has caught up, and then takes a few milliseconds. */
        val ATTEMPT_INTERVAL = 200.milliseconds
    }
}
