package org.zinniahoist.gateway.core

import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.model.InstanceName
import org.zinniahoist.wire.ServiceMessage

/**
 * Keeps the replica and the links of a core up to date on who belongs to the group.
 *
 * Not safe for use by several threads.
 *
 * @param seeds the replicas that the settings name.
 */
internal class MemberFollower(
    private val host: GroupHost,
    private val links: CoreLinks,
    private val seeds: Set<InstanceName>,
) {
    private var lastIntroduced: Pair<Set<InstanceName>, Set<InstanceName>>? = null

    /** Takes over the members of [status]; replicas on the instances [retiring] get no place in the group. */
    fun tick(status: GroupStatus, retiring: Set<InstanceName>) {
        val own = status.configuration.members.map { it.address.instance }.distinct()
        // All seeds may be outside the group, which a replica without a place finds by what its members say.
        val known = own.toSet() + seeds + links.membersTold?.members.orEmpty()
        val introduced = known to retiring
        if (introduced != lastIntroduced) host.introduce(known, retiring)
        lastIntroduced = introduced
        links.update(known, ServiceMessage.Members(own, status.leader))
    }
}
