package org.zinniahoist.policy.liveness

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Merges the platform's list with the notices in which upstreams say themselves that they are leaving.
 *
 * A notice binds the identity of the upstream, which a process started later at the same address does not have. It
 * holds whatever the list says, until the upstream has been missing from several listings. Thread-safe.
 *
 * @param drainTime time after a notice for which the upstream accepts requests.
 */
public class LeavingUpstreams(private val drainTime: Duration = DEFAULT_DRAIN_TIME) {
    private val notices = LinkedHashMap<UpstreamIdentity, Notice>()
    private var listedLeaving: Set<UpstreamIdentity> = emptySet()
    private var listedAt: Moment? = null

    /** Number of notices that are retained. */
    public val size: Int @Synchronized get() = notices.size

    /** Applies a listing that was read at [now]. Returns its [entries], with all upstreams that are known to leave. */
    @Synchronized
    public fun onListed(entries: List<ListedUpstream>, now: Moment): List<ListedUpstream> {
        listedAt = now
        listedLeaving = entries.filter { it.isLeaving }.mapTo(HashSet()) { it.identity }
        val present = entries.mapTo(HashSet()) { it.identity }
        notices.forEach { (identity, notice) ->
            notice.missedListings =
                if (identity in present) 0 else notice.missedListings + 1
        }
        notices.values.removeIf { it.missedListings > RETAINED_LISTINGS }
        return entries.map { if (it.identity in notices && !it.isLeaving) it.copy(isLeaving = true) else it }
    }

    /** Records at [now] that [upstream] said it is leaving. Returns false if that was known from an earlier notice. */
    @Synchronized
    public fun onNotice(upstream: UpstreamIdentity, now: Moment): Boolean {
        if (notices.containsKey(upstream)) return false
        notices[upstream] = Notice(now)
        if (notices.size > CAPACITY) notices.remove(notices.keys.first())
        return true
    }

    /** Returns true if the list or a notice says that [upstream] is leaving. */
    @Synchronized
    public fun isLeaving(upstream: UpstreamIdentity): Boolean = upstream in notices || upstream in listedLeaving

    /**
     * Returns true if [upstream], which is leaving, may still get a request at [now] when no other can serve it.
     *
     * That is so only while a notice is recent and the list does not show it: the list may have shown it for some time.
     */
    @Synchronized
    public fun mayStillServe(upstream: UpstreamIdentity, now: Moment): Boolean {
        val notice = notices[upstream] ?: return false
        return upstream !in listedLeaving && now - notice.at < drainTime - TRANSIT_RESERVE
    }

    /** Returns the age of the latest listing at [now], or null before the first one. */
    @Synchronized
    public fun listAge(now: Moment): Duration? = listedAt?.let { now - it }

    private class Notice(val at: Moment) {
        /** Number of consecutive listings that lacked the upstream. */
        var missedListings = 0
    }

    private companion object {
        val DEFAULT_DRAIN_TIME = 3.seconds

        /** Part of the drain time in which a request that was sent last reaches its upstream. */
        val TRANSIT_RESERVE = 1.seconds

        /** A listing may lack an upstream whose entry can't be read. */
        const val RETAINED_LISTINGS = 10
        const val CAPACITY = 4_096
    }
}
