package org.zinniahoist.gateway.link

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Revision
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceMessage
import org.zinniahoist.wire.ServiceReply
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives updates from the replicas. Called on the threads of the links. */
public interface CoreObserver {
    /** Called with a configuration newer than all earlier ones; [document] is decompressed. */
    public fun onConfiguration(revision: Revision, document: ByteArray)

    /** Called with the platform's list of upstreams, or with null if the list is unchanged. */
    public fun onUpstreams(entries: List<ListedUpstream>?)

    /** Called with crashes of upstreams that other processes have observed. */
    public fun onCrashes(report: ServiceMessage.Crashes)

    /** Called with a new [link] to a replica. */
    public fun onConnected(link: LinkConnection)
}

/** Client of the service group: tracks its replicas, subscribes to their configuration and calls their leader. */
public class CoreClient(
    seeds: Set<InstanceName>,
    hello: LinkMessage.Hello,
    private val observer: CoreObserver,
    private val scope: CoroutineScope,
    private val clock: () -> Moment,
) : LinkHandler,
    AutoCloseable {
    private val calls = ServiceCalls(clock)
    private val links = PeerLinks(hello, this, clock)

    private val group = GroupView(seeds, clock())

    @Volatile
    private var isIsolated = false

    @Volatile
    private var revision = Revision.NONE

    private var fetchStarted: Moment? = null
    private var newest: Announcement? = null

    /**
     * True once the client has obtained a configuration that was the newest at some time after its start, or has
     * learned that none exists.
     */
    @Volatile
    public var isSynchronized: Boolean = false
        private set

    /** Time since a replica that has caught up with its leader was in contact, or since the start. */
    public val contactAge: Duration get() = group.contactAge(clock())

    /** Latest term of the service group in which a leader is known; 0 before the first. */
    public val leaderTerm: Long get() = group.leaderTerm

    /** Number of replicas with an open link. */
    public val openLinks: Int get() = links.connected.size

    /** Starts connecting and fetching the active configuration. */
    public fun start() {
        keepLinks()
        scope.launch { fetchNewestConfiguration() }
        scope.launch { keepLinksPeriodically() }
    }

    /** Uses [seeds], which the changed settings list, in place of the former ones. */
    public fun useSeeds(seeds: Set<InstanceName>) {
        group.useSeeds(seeds)
        keepLinks()
    }

    override fun close(): Unit = links.close()

    /**
     * Calls the leader and retries until a reply arrives. All calls are idempotent, so a call whose reply was lost is
     * retried as well.
     *
     * Returns [ServiceReply.Unavailable] if the call had no effect within [timeout], and [ServiceReply.OutcomeUnknown]
     * if a reply was lost.
     */
    public suspend fun callLeader(call: ServiceCall, timeout: Duration): ServiceReply {
        val deadline = clock() + timeout
        val request = calls.newRequest()
        var excluded = emptySet<InstanceName>()
        var failure: ServiceReply = ServiceReply.Unavailable("no leader within $timeout")
        while (true) {
            val remaining = deadline - clock()
            if (!remaining.isPositive()) return failure
            val target = target(excluded)
            val link = target?.let(links::link)
            if (link == null) {
                excluded = emptySet()
                delay(RETRY_INTERVAL)
                continue
            }
            val reply = calls.call(link, call, limits(remaining, target), request)
            when (reply) {
                null -> failure = ServiceReply.OutcomeUnknown("no reply from $target")
                is ServiceReply.OutcomeUnknown -> failure = reply
                is ServiceReply.NotLeader -> Unit
                is ServiceReply.Unavailable -> Unit
                else -> return reply
            }
            group.onNotLeading(target)
            excluded = excluded + target
            if (reply is ServiceReply.NotLeader) useHint(reply, excluded)
        }
    }

    private fun useHint(reply: ServiceReply.NotLeader, excluded: Set<InstanceName>) {
        val leader = reply.leader ?: return
        if (leader !in excluded) group.onHint(leader, links.connected)
    }

    /** Returns limits that abandon the call if [target] is silent or another replica becomes the leader. */
    private fun limits(remaining: Duration, target: InstanceName): CallLimits {
        val known = group.leader
        return CallLimits(remaining, CALL_SILENCE_LIMIT) {
            group.leader.let { it != null && it != known && it != target }
        }
    }

    /** Returns the replica to call: the known leader if possible, otherwise members before other replicas. */
    private fun target(excluded: Set<InstanceName>): InstanceName? {
        val candidates = links.connected - excluded
        val members = group.members
        return group.leader?.takeIf { it in candidates }
            ?: candidates.find { it in members }
            ?: candidates.firstOrNull()
    }

    private suspend fun fetchNewestConfiguration() {
        while (!isSynchronized) {
            when (val reply = callLeader(ServiceCall.NewestConfiguration, NEWEST_CONFIGURATION_TIMEOUT)) {
                is ServiceReply.Document -> {
                    applyDocument(reply)
                    isSynchronized = true
                }

                is ServiceReply.NotFound -> isSynchronized = true

                else -> delay(RETRY_INTERVAL)
            }
        }
        logger.info { "event=informed revision=$revision" }
        fetchAnnounced()
    }

    override fun onOpen(link: LinkConnection): Unit = observer.onConnected(link)

    /** Queues [message] for the leader, if it is known, and other replicas: [REPORT_RECIPIENTS] altogether. */
    public fun report(message: ServiceMessage) {
        val members = group.members
        val replicas = listOfNotNull(group.leader) + links.connected.sortedByDescending { it in members }
        val recipients = replicas.distinct().mapNotNull(links::link)
        recipients.take(REPORT_RECIPIENTS).forEach { it.offer(message) }
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        when (message) {
            is ServiceMessage.Reply -> calls.onReply(message)
            is ServiceMessage.Members -> onMembers(message)
            is ServiceMessage.Configured -> fetchIfNewer(link, message.revision)
            is LinkMessage.Heartbeat -> onHeartbeat(link, message)
            is ServiceMessage.Upstreams -> observer.onUpstreams(message.entries)
            is ServiceMessage.Crashes -> observer.onCrashes(message)
            else -> Unit
        }
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause): Unit = calls.onClosed(link)

    private fun onMembers(message: ServiceMessage.Members) {
        if (!group.onMembers(message, clock())) return
        logger.info {
            "event=members-known members=${message.members.joinToString(",")} leader=${message.leader} " +
                "index=${message.index} term=${message.term}"
        }
        keepLinks()
    }

    private fun onHeartbeat(link: LinkConnection, heartbeat: LinkMessage.Heartbeat) {
        if (heartbeat.isCaughtUp) group.onContact(clock())
        fetchIfNewer(link, heartbeat.settingsRevision)
    }

    @Synchronized
    private fun keepLinks() = links.keep(group.targets(links.connected, clock()))

    private suspend fun keepLinksPeriodically() {
        while (true) {
            delay(LINK_CHECK_INTERVAL)
            reportIsolation()
            keepLinks()
        }
    }

    private fun reportIsolation() {
        val isIsolatedNow = group.isIsolated(clock())
        if (isIsolatedNow == isIsolated) return
        isIsolated = isIsolatedNow
        val connected = links.connected.joinToString(",")
        if (isIsolatedNow) {
            logger.warn { "event=group-lost contact-age=$contactAge links=$connected revision=$revision" }
        } else {
            logger.info { "event=group-found links=$connected revision=$revision" }
        }
    }

    /**
     * Fetches an announced configuration unless a fetch is in progress. Before the client is synchronized it fetches
     * none, because a replica that replays its log announces configurations that were replaced long ago.
     * Several replicas announce the same revision,
     * and a replica that starts announces many. Therefore only one replica is asked at a time, and another one if it
     * does not reply within [FETCH_RETRY_AFTER]. Revisions announced meanwhile are fetched afterwards.
     */
    @Synchronized
    private fun fetchIfNewer(link: LinkConnection, announced: Revision) {
        if (announced <= revision) return
        if (announced >= (newest?.revision ?: Revision.NONE)) newest = Announcement(link, announced)
        if (!isSynchronized) return
        val now = clock()
        if (fetchStarted?.let { now - it < FETCH_RETRY_AFTER } == true) return
        fetchStarted = now
        scope.launch { fetch(link) }
    }

    private suspend fun fetch(link: LinkConnection) {
        val reply = calls.call(link, ServiceCall.AppliedConfiguration(revision), CallLimits(FETCH_TIMEOUT))
        if (reply is ServiceReply.Document) applyDocument(reply)
        onFetched(isSuccess = reply is ServiceReply.Document)
    }

    @Synchronized
    private fun onFetched(isSuccess: Boolean) {
        if (!isSuccess) return
        fetchStarted = null
        fetchAnnounced()
    }

    @Synchronized
    private fun fetchAnnounced() {
        newest?.let { fetchIfNewer(it.link, it.revision) }
    }

    @Synchronized
    private fun applyDocument(document: ServiceReply.Document) {
        if (document.revision <= revision) return
        observer.onConfiguration(document.revision, DocumentCompression.expand(document.content))
        revision = document.revision
    }

    private class Announcement(
        val link: LinkConnection,
        val revision: Revision,
    )

    private companion object {
        val logger = KotlinLogging.logger {}
        val RETRY_INTERVAL = 40.milliseconds
        val NEWEST_CONFIGURATION_TIMEOUT = 1.seconds

        /**
         * A leader sends heartbeats every 400 ms; a frozen one sends nothing. A slow leader that still sends data is
         * not called again, as a retry would delay it further.
         */
        val CALL_SILENCE_LIMIT = 700.milliseconds
        val FETCH_TIMEOUT = 1.seconds

        /** A fraction of the time after which a process without contact tries all replicas that it knows. */
        val LINK_CHECK_INTERVAL = 500.milliseconds

        /** A report reaches all processes although one of its recipients fails. */
        const val REPORT_RECIPIENTS = 2

        /** Many times the response time of a replica in the same region. */
        val FETCH_RETRY_AFTER = 150.milliseconds
    }
}
