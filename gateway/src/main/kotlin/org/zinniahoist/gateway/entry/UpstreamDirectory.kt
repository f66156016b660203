package org.zinniahoist.gateway.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.zinniahoist.gateway.upstream.ListReader
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.live.ServiceCapacity
import org.zinniahoist.policy.liveness.LeavingUpstreams
import org.zinniahoist.policy.routes.LoadBalancer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Caches the list of upstreams of an entry. The leader of the service group sends the platform's list. Without an
 * update from the leader, the entry reads the list itself, so that it also stops sending requests to draining upstreams
 * during a leader election.
 */
internal class UpstreamDirectory(
    private val chooser: LoadBalancer,
    private val reader: ListReader,
    private val clock: () -> Moment,
    private val leaving: LeavingUpstreams = LeavingUpstreams(),
) : UpstreamChooser {
    @Volatile
    private var refreshedAt: Moment? = null

    /** The list that the leader sent last. Its notices of an unchanged list refer to it, and not to an own read. */
    private var sent: List<ListedUpstream>? = null

    /** True once a list has been received. */
    val isKnown: Boolean get() = refreshedAt != null

    /** Uses [entries], which the leader sent, or its list before if [entries] is null. */
    @Synchronized
    fun refresh(entries: List<ListedUpstream>?) {
        val listed = entries ?: sent ?: return
        sent = listed
        // An unchanged list is listed once more, so that notices of upstreams that it lacks expire.
        use(listed)
        if (entries != null) logList(entries)
    }

    /** Uses [entries], the result of an own read, unless the leader has sent a list since [previous]. */
    @Synchronized
    private fun onRead(entries: List<ListedUpstream>, previous: Moment?) {
        if (refreshedAt != previous) return
        use(entries)
        logList(entries)
    }

    private fun use(entries: List<ListedUpstream>) {
        val now = clock()
        refreshedAt = now
        chooser.relist(leaving.onListed(entries, now))
    }

    private fun logList(entries: List<ListedUpstream>) {
        logger.info {
            "event=upstreams-known count=${entries.size} " +
                "leaving=${entries.filter { it.isLeaving }.joinToString(",") { it.identity.value }}"
        }
    }

    /** Records that [upstream] said it is leaving. Returns false if that was known. */
    @Synchronized
    fun onLeaving(upstream: UpstreamIdentity): Boolean {
        val now = clock()
        if (!leaving.onNotice(upstream, now)) return false
        chooser.onLeaving(upstream)
        logger.info { "event=upstream-leaving upstream=$upstream source=response list-age=${leaving.listAge(now)}" }
        return true
    }

    @Synchronized
    override fun choose(service: ServiceName, excluded: Set<UpstreamIdentity>): ListedUpstream? {
        val chosen = chooser.choose(service, excluded, clock())
        chosen?.let { chooser.onSent(it.identity) }
        return chosen
    }

    @Synchronized
    override fun onEnded(upstream: UpstreamIdentity, latency: Duration, isSuccess: Boolean) =
        chooser.onEnded(upstream, latency, isSuccess, clock())

    /** Returns the upstreams of [service] that are not leaving, and their slots. */
    @Synchronized
    fun capacity(service: ServiceName): ServiceCapacity = chooser.capacity(service)

    /** Reads the list whenever no update has arrived for [STALE_AFTER]. Runs until it is cancelled. */
    suspend fun refreshPeriodically() {
        while (true) {
            refreshIfStale()
            delay(CHECK_INTERVAL)
        }
    }

    /** Reads the list if no update has arrived for [STALE_AFTER]. */
    suspend fun refreshIfStale() {
        val previous = refreshedAt
        val isStale = previous == null || clock() - previous >= STALE_AFTER
        if (isStale) reader.readAndApply { onRead(it, previous) }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        /** The leader sends the list every second. */
        val STALE_AFTER = 1_600.milliseconds
        val CHECK_INTERVAL = 500.milliseconds
    }
}
