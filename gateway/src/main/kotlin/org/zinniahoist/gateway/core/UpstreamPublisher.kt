package org.zinniahoist.gateway.core

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Role
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.ServiceMessage
import kotlin.time.Duration.Companion.seconds

/**
 * Sends the platform's list to the entries while this replica leads. An entry that has the list already is told only
 * that it is unchanged. May be used by several threads.
 */
internal class UpstreamPublisher {
    /** The entries' links, each with the list that it took last. */
    private val delivered = HashMap<LinkConnection, List<ListedUpstream>?>()
    private var latest: List<ListedUpstream>? = null
    private var leadership = 0L

    /** Begins a reading of the list at [now]. */
    @Synchronized
    fun begin(now: Moment): Reading = Reading(leadership, now)

    /** Sends [entries], which [reading] found, unless this replica stopped to lead since or they are old [now]. */
    @Synchronized
    fun publish(reading: Reading, entries: List<ListedUpstream>, now: Moment) {
        if (reading.leadership != leadership || now - reading.begun > LONGEST_READING) return
        latest = entries
        delivered.keys.toList().forEach { deliver(it, entries) }
    }

    /** Forgets what was sent, because another replica sends the list from now on. */
    @Synchronized
    fun stop() {
        leadership++
        latest = null
        delivered.replaceAll { _, _ -> null }
    }

    /** Gives the latest list to [link] if an entry opened it. */
    @Synchronized
    fun onOpen(link: LinkConnection) {
        if (Role.ENTRY !in link.peer.roles) return
        delivered[link] = null
        latest?.let { deliver(link, it) }
    }

    /** Sends nothing more to [link]. */
    @Synchronized
    fun onClosed(link: LinkConnection) {
        delivered.remove(link)
    }

    /** A link whose queue is full takes nothing, and gets the whole list with the next reading. */
    private fun deliver(link: LinkConnection, entries: List<ListedUpstream>) {
        val isTaken = link.offer(ServiceMessage.Upstreams(entries.takeIf { it != delivered[link] }))
        if (isTaken) delivered[link] = entries
    }

    /** A reading of the list that began at [begun], in one [leadership] of this replica. */
    internal class Reading(
        val leadership: Long,
        val begun: Moment,
    )

    private companion object {
        /** Entries that are told nothing for 1.6 s read the list themselves; an older one would replace theirs. */
        val LONGEST_READING = 2.seconds
    }
}
