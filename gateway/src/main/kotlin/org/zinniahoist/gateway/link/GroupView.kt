package org.zinniahoist.gateway.link

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.ServiceMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a process outside the service group knows of the group: its members, its leader and the replicas to link to.
 *
 * Replicas make their announcements independently, and some are late, so announcements are ordered: members by their
 * position in the log, leaders by their term. Nothing older replaces what is known, unless no replica that has caught
 * up with its leader has been in contact for some time: the group may then have been restored from an earlier state.
 *
 * Thread-safe.
 *
 * @param seeds the replicas listed in the settings.
 * @param now the time of the start, from which silence of the group is measured.
 */
internal class GroupView(
    private var seeds: Set<InstanceName>,
    now: Moment,
) {
    private val known = KnownReplicas()
    private var membersIndex = 0L
    private var lastContact = now

    /** The newest members that a replica has announced; empty before the first announcement. */
    @get:Synchronized
    var members: Set<InstanceName> = emptySet()
        private set

    /** The leader of the latest known term; null if it is unknown or has failed to answer. */
    @get:Synchronized
    var leader: InstanceName? = null
        private set

    /** The latest known term. */
    @get:Synchronized
    var leaderTerm = 0L
        private set

    /** Replaces the seeds by those of the changed settings. */
    @Synchronized
    fun useSeeds(changed: Set<InstanceName>) {
        known.remember(seeds)
        seeds = changed
    }

    /** Records an announcement received at [now]. Returns true if it changed the known members. */
    @Synchronized
    fun onMembers(announced: ServiceMessage.Members, now: Moment): Boolean {
        val isIsolated = isIsolated(now)
        if (announced.leader != null && (announced.term >= leaderTerm || isIsolated)) {
            leader = announced.leader
            leaderTerm = announced.term
        }
        val isOlder = announced.index < membersIndex && !isIsolated
        if (announced.members.isEmpty() || isOlder) return false
        membersIndex = announced.index
        val named = announced.members.toSet()
        if (named == members) return false
        known.remember(members)
        members = named
        return true
    }

    /** Records a heartbeat, received at [now], of a replica that has caught up with its leader. */
    @Synchronized
    fun onContact(now: Moment) {
        lastContact = now
    }

    /**
     * Uses [instance], which another replica named as the leader without a term, unless the known leader is among the
     * [connected] replicas.
     */
    @Synchronized
    fun onHint(instance: InstanceName, connected: Set<InstanceName>) {
        val known = leader
        // Concurrent sets refuse to look up null.
        if (known == null || known !in connected) leader = instance
    }

    /** Records that [instance] did not answer as a leader. */
    @Synchronized
    fun onNotLeading(instance: InstanceName) {
        if (leader == instance) leader = null
    }

    /** Returns the time at [now] since a replica that has caught up with its leader was in contact. */
    @Synchronized
    fun contactAge(now: Moment): Duration = now - lastContact

    /** Returns true if at [now] no replica that has caught up with its leader is in contact. */
    fun isIsolated(now: Moment): Boolean = contactAge(now) >= ISOLATION_LIMIT

    /** Returns the replicas to link to at [now], given those with an open link. */
    @Synchronized
    fun targets(connected: Set<InstanceName>, now: Moment): Set<InstanceName> =
        known.targets(members + seeds, connected, isIsolated(now))

    private companion object {
        /** Longer than an election and than a restart of all replicas, during which none has a leader. */
        val ISOLATION_LIMIT = 5.seconds
    }
}
