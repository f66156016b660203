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
 * position in the log, leaders by their term. Nothing older replaces what is known. Former members are remembered and
 * contacted again while no replica that has caught up with its leader is in contact, because the known members and the
 * seeds may all be gone by then.
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
    private var membersIndex = 0L
    private var leaderTerm = 0L

    /** Replicas known at some time, those known last at the end. */
    private val everKnown = LinkedHashSet<InstanceName>(seeds)
    private var lastContact = now

    /** The newest members that a replica has announced; empty before the first announcement. */
    @get:Synchronized
    var members: Set<InstanceName> = emptySet()
        private set

    /** The leader of the latest known term; null if it is unknown or has failed to answer. */
    @get:Synchronized
    var leader: InstanceName? = null
        private set

    /** Replaces the seeds by those of the changed settings. */
    @Synchronized
    fun useSeeds(changed: Set<InstanceName>) {
        seeds = changed
        remember(changed)
    }

    /** Records an announcement received at [now]. Returns true if it changed the known members. */
    @Synchronized
    fun onMembers(announced: ServiceMessage.Members, now: Moment): Boolean {
        if (announced.leader != null && announced.term >= leaderTerm) {
            leader = announced.leader
            leaderTerm = announced.term
        }
        if (announced.members.isEmpty() || announced.index < membersIndex) return false
        membersIndex = announced.index
        lastContact = now
        val named = announced.members.toSet()
        if (named == members) return false
        members = named
        remember(named)
        return true
    }

    /** Records a heartbeat of a replica that announces the members at [index], or 0 if it has not caught up. */
    @Synchronized
    fun onHeartbeat(index: Long, now: Moment) {
        if (index > 0 && index >= membersIndex) lastContact = now
    }

    /** Uses [instance], which another replica named as the leader without a term, unless a leader is known. */
    @Synchronized
    fun onHint(instance: InstanceName) {
        if (leader == null) leader = instance
    }

    /** Records that [instance] did not answer as a leader. */
    @Synchronized
    fun onNotLeading(instance: InstanceName) {
        if (leader == instance) leader = null
    }

    /** Returns the time at [now] since a replica that has caught up with its leader was in contact. */
    @Synchronized
    fun contactAge(now: Moment): Duration = now - lastContact

    /** Returns true if at [now] no replica in contact is known to have caught up with its leader. */
    fun isIsolated(now: Moment): Boolean = contactAge(now) >= ISOLATION_LIMIT

    /**
     * Returns the replicas to link to at [now], given those with an open link. An open link to a former member is kept,
     * because that replica forwards what it hears from the members, and one announcement can't cut off this process.
     */
    @Synchronized
    fun targets(connected: Set<InstanceName>, now: Moment): Set<InstanceName> {
        val current = members + seeds
        val former = everKnown - current
        return current + if (isIsolated(now)) former else former.intersect(connected)
    }

    private fun remember(instances: Set<InstanceName>) {
        everKnown -= instances
        everKnown += instances
        val surplus = everKnown.size - MAXIMUM_KNOWN
        if (surplus > 0) everKnown -= everKnown.take(surplus).toSet()
    }

    private companion object {
        /** Longer than an election, during which no replica has a leader. */
        val ISOLATION_LIMIT = 3.seconds

        /** Bounds the connection attempts of an isolated process. */
        const val MAXIMUM_KNOWN = 64
    }
}
