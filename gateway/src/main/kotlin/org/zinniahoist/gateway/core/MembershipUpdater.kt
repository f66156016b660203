package org.zinniahoist.gateway.core

import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.GroupStatus
import org.zinniahoist.gateway.link.KnownReplicas
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.ServiceMessage
import kotlin.time.Duration.Companion.seconds

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
    private val known = KnownReplicas()
    private var current: Set<InstanceName> = seeds
    private var lastCaughtUp: Moment? = null
    private var lastIntroduction: Pair<Set<InstanceName>, Set<InstanceName>>? = null

    @Volatile
    private var seeds = seeds

    /** Uses [seeds] instead of the former ones from the next [tick] on. */
    fun useSeeds(seeds: Set<InstanceName>) {
        this.seeds = seeds
    }

    /**
     * Applies the members of [status], read at [now]; replicas on the instances [retiring] are not admitted to the
     * group.
     */
    fun tick(status: GroupStatus, retiring: Set<InstanceName>, now: Moment) {
        val own = status.configuration.members.map { it.address.instance }.toSet()
        // All seeds may be outside the group; a non-member then discovers the group from the reported member list.
        useCurrent(own + seeds + links.reportedMembers?.members.orEmpty())
        val targets = known.targets(current, links.reachable, isIsolated(status, now))
        val introduction = targets to retiring
        if (introduction != lastIntroduction) host.introduce(targets, retiring)
        lastIntroduction = introduction
        links.update(targets, announcementOf(status))
    }

    private fun useCurrent(replicas: Set<InstanceName>) {
        if (replicas == current) return
        known.remember(current - replicas)
        current = replicas
    }

    private fun isIsolated(status: GroupStatus, now: Moment): Boolean {
        val last = lastCaughtUp
        if (last == null || status.isCaughtUp) lastCaughtUp = now
        return last != null && !status.isCaughtUp && now - last >= ISOLATION_LIMIT
    }

    /** Returns the committed members, with the leader only if this replica has caught up with it. */
    private fun announcementOf(status: GroupStatus): ServiceMessage.Members {
        val (index, configuration) = status.committed
        val leader = status.leader.takeIf { status.isCaughtUp }
        val instances = configuration.members.map { it.address.instance }.distinct()
        return ServiceMessage.Members(instances, leader, index, status.term)
    }

    private companion object {
        /** Longer than an election and than a restart of all replicas, during which none has a leader. */
        val ISOLATION_LIMIT = 5.seconds
    }
}
