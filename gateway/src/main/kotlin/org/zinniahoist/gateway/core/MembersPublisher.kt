package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.model.Role
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.ServiceMessage

/**
 * Announces the members of the group on the links of a replica, and collects what other replicas announce.
 *
 * Only a replica that has caught up with its leader announces the members of its own log; another one may still read
 * former members from it. To entries, such a replica forwards the newest members that another one announced.
 *
 * Thread-safe.
 */
internal class MembersPublisher {
    /** Open links, each with the announcement last queued on it. */
    private val delivered = HashMap<LinkConnection, ServiceMessage.Members?>()
    private val received = HashMap<LinkConnection, ServiceMessage.Members>()
    private var current = Announcement(ServiceMessage.Members(emptyList(), leader = null), isCaughtUp = false)

    /** The newest members that a replica with an open link announced, or null. */
    @get:Synchronized
    val reported: ServiceMessage.Members?
        get() = received.values.maxWithOrNull(compareBy({ it.index }, { it.term }))

    /**
     * Announces [own] if it names a leader, which means that this replica has caught up with it. Repeats what an
     * earlier call could not queue.
     */
    @Synchronized
    fun update(own: ServiceMessage.Members) {
        val isCaughtUp = own.leader != null
        val next = Announcement(if (isCaughtUp) own else reported ?: own, isCaughtUp)
        if (next != current) {
            current = next
            logger.info {
                "event=members members=${next.members.members.joinToString(",")} leader=${next.members.leader} " +
                    "index=${next.members.index} term=${next.members.term} caught-up=$isCaughtUp"
            }
        }
        delivered.keys.toList().forEach(::deliver)
    }

    /** Starts announcing on [link]. */
    @Synchronized
    fun onOpen(link: LinkConnection) {
        delivered[link] = null
        deliver(link)
    }

    /** Records [members], received on [link]. */
    @Synchronized
    fun onMembers(link: LinkConnection, members: ServiceMessage.Members) {
        val known = received[link]
        if (known == null || members.index >= known.index) received[link] = members
    }

    /** Stops announcing on [link], and forgets what was received on it. */
    @Synchronized
    fun onClosed(link: LinkConnection) {
        delivered.remove(link)
        received.remove(link)
    }

    private fun deliver(link: LinkConnection) {
        val members = current.members
        val isRecipient = current.isCaughtUp || Role.ENTRY in link.peer.roles
        if (!isRecipient || members.leader == null || delivered[link] == members) return
        if (link.offer(members)) delivered[link] = members
    }

    /** Members of the group, and whether this replica read them from its own log after it caught up. */
    private data class Announcement(
        val members: ServiceMessage.Members,
        val isCaughtUp: Boolean,
    )

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
