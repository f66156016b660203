package org.zinniahoist.gateway.core

import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.model.InstanceName
import org.zinniahoist.wire.ServiceMessage

/**
 * Propagates changes of the group membership to the local replica and to the links of a core.
 *
 * Not thread-safe.
 *
 * @param seeds the replicas listed in the settings.
 */
internal class MembershipUpdater(
    private val host: GroupHost,
    private val links: CoreLinks,
    private val seeds: Set<InstanceName>,
) {
    private var lastIntroduction: Pair<Set<InstanceName>, Set<InstanceName>>? = null

    /** Applies the members of [status]; replicas on the instances [retiring] are not admitted to the group. */
    fun tick(status: GroupStatus, retiring: Set<InstanceName>) {
        val own = status.configuration.members.map { it.address.instance }.distinct()
        // All seeds may be outside the group; a non-member then discovers the group from the reported member list.
        val known = own.toSet() + seeds + links.reportedMembers?.members.orEmpty()
        val introduction = known to retiring
        if (introduction != lastIntroduction) host.introduce(known, retiring)
        lastIntroduction = introduction
        links.update(known, announcementOf(status))
    }

    /** Returns the committed members, with the leader only if this replica has caught up with it. */
    private fun announcementOf(status: GroupStatus): ServiceMessage.Members {
        val (index, configuration) = status.committed
        val leader = status.leader.takeIf { status.isCaughtUp }
        val instances = configuration.members.map { it.address.instance }.distinct()
        return ServiceMessage.Members(instances, leader, index, status.term)
    }
}
