package org.zinniahoist.gateway.core

import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.model.InstanceName
import org.zinniahoist.wire.ServiceMessage

/**
 * Propagates changes of the group membership to the local replica and to the links of a core.
 *
 * Not thread-safe, except for [useSeeds].
 *
 * @param seeds the replicas listed in the settings.
 */
internal class MembershipUpdater(
    private val host: GroupHost,
    private val links: CoreLinks,
    seeds: Set<InstanceName>,
) {
    @Volatile
    private var seeds = seeds

    private var lastIntroduction: Pair<Set<InstanceName>, Set<InstanceName>>? = null

    /** Uses [seeds] instead of the former ones from the next [tick] on. */
    fun useSeeds(seeds: Set<InstanceName>) {
        this.seeds = seeds
    }

    /** Applies the members of [status]; replicas on the instances [retiring] are not admitted to the group. */
    fun tick(status: GroupStatus, retiring: Set<InstanceName>) {
        val own = status.configuration.members.map { it.address.instance }.distinct()
        // All seeds may be outside the group; a non-member then discovers the group from the reported member list.
        val known = own.toSet() + seeds + links.reportedMembers?.members.orEmpty()
        val introduction = known to retiring
        if (introduction != lastIntroduction) host.introduce(known, retiring)
        lastIntroduction = introduction
        links.update(known, ServiceMessage.Members(own, status.leader))
    }
}
