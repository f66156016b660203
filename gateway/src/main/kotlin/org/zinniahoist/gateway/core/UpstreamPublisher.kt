package org.zinniahoist.gateway.core

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Role
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.ServiceMessage
import kotlin.time.Duration.Companion.seconds

/**
 * Publishes the platform's upstream list to the entries while this replica is the leader. An entry that already has the
 * list receives only a notice that it is unchanged, except for some time after a change of leadership. Thread-safe.
 */
internal class UpstreamPublisher {
    /** Links of the entries, each with the list last queued on it. */
    private val delivered = HashMap<LinkConnection, List<ListedUpstream>?>()
    private var latest: List<ListedUpstream>? = null
    private var leadershipEpoch = 0L

    /** Time of the first publication in this period of leadership, or null before it. */
    private var publishingSince: Moment? = null

    /** Starts a read of the list at [now]. */
    @Synchronized
    fun beginRead(now: Moment): ListRead = ListRead(leadershipEpoch, now)

    /** Sends [entries], the result of [read], unless this replica has lost leadership since or the read is stale. */
    @Synchronized
    fun publish(read: ListRead, entries: List<ListedUpstream>, now: Moment) {
        if (read.leadershipEpoch != leadershipEpoch || now - read.startedAt > MAXIMUM_READ_TIME) return
        latest = entries
        val since = publishingSince ?: now.also { publishingSince = it }
        if (now - since < SUCCESSION_TIME) delivered.replaceAll { _, _ -> null }
        delivered.keys.toList().forEach { deliver(it, entries) }
    }

    /** Discards the list and invalidates reads in progress, because another replica publishes the list from now on. */
    @Synchronized
    fun stop() {
        leadershipEpoch++
        latest = null
        publishingSince = null
        delivered.replaceAll { _, _ -> null }
    }

    /** Sends the latest list on [link] if an entry opened it. */
    @Synchronized
    fun onOpen(link: LinkConnection) {
        if (Role.ENTRY !in link.peer.roles) return
        delivered[link] = null
        latest?.let { deliver(link, it) }
    }

    /** Stops publishing to [link]. */
    @Synchronized
    fun onClosed(link: LinkConnection) {
        delivered.remove(link)
    }

    /** Queues [entries] on [link]; if the queue is full, the next read sends the whole list. */
    private fun deliver(link: LinkConnection, entries: List<ListedUpstream>) {
        val isQueued = link.offer(ServiceMessage.Upstreams(entries.takeIf { it != delivered[link] }))
        if (isQueued) delivered[link] = entries
    }

    /** A read of the list that started at [startedAt], in period [leadershipEpoch] of this replica's leadership. */
    internal class ListRead(
        val leadershipEpoch: Long,
        val startedAt: Moment,
    )

    private companion object {
        /** Entries that receive no list for 1.6 s read it themselves; an older result would overwrite theirs. */
        val MAXIMUM_READ_TIME = 2.seconds

        /**
         * Time from the first list of a leader in which entries may still receive one of its predecessor. Covers the
         * time until that notices its loss of leadership, 1.2 s, and twice the silence limit of a link.
         */
        val SUCCESSION_TIME = 5.seconds
    }
}
