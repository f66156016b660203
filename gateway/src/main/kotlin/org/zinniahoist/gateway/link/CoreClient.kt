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

/** Is told what the replicas say. Called from the threads of links. */
public interface CoreObserver {
    /** A configuration newer than all before; [document] is expanded. */
    public fun onConfiguration(revision: Revision, document: ByteArray)

    /** The platform's list; null if it was confirmed unchanged. */
    public fun onUpstreams(entries: List<ListedUpstream>?)
}

/** Knows the replicas of the service group, follows their configuration and calls their leader. */
public class CoreClient(
    private val seeds: Set<InstanceName>,
    hello: LinkMessage.Hello,
    private val observer: CoreObserver,
    private val scope: CoroutineScope,
    private val clock: () -> Moment,
) : LinkHandler,
    AutoCloseable {
    private val calls = ServiceCalls(clock)
    private val links = PeerLinks(hello, this, clock)

    @Volatile
    private var members: Set<InstanceName> = emptySet()

    @Volatile
    private var leader: InstanceName? = null

    @Volatile
    private var revision = Revision.NONE

    private var fetchStarted: Moment? = null
    private var newest: Announcement? = null

    /** True once the newest configuration at some time after the start is known here. */
    @Volatile
    public var isInformed: Boolean = false
        private set

    /** Starts to connect and to ask for the configuration in force. */
    public fun start() {
        links.keep(seeds)
        scope.launch { inform() }
    }

    override fun close(): Unit = links.close()

    /**
     * Calls the leader until there is an answer. All calls may be repeated, so a lost answer is asked for again.
     *
     * Returns [ServiceReply.Unavailable] if there was no effect within [timeout], and [ServiceReply.OutcomeUnknown] if
     * an answer was lost.
     */
    public suspend fun callLeader(call: ServiceCall, timeout: Duration): ServiceReply {
        val deadline = clock() + timeout
        val request = calls.newRequest()
        var refused = emptySet<InstanceName>()
        var failure: ServiceReply = ServiceReply.Unavailable("no leader within $timeout")
        while (true) {
            val remaining = deadline - clock()
            if (!remaining.isPositive()) return failure
            val target = target(refused)
            val link = target?.let(links::link)
            if (link == null) {
                refused = emptySet()
                delay(RETRY_INTERVAL)
                continue
            }
            val reply = calls.call(link, call, patience(remaining, target), request)
            when (reply) {
                null -> failure = ServiceReply.OutcomeUnknown("no answer from $target")
                is ServiceReply.OutcomeUnknown -> failure = reply
                is ServiceReply.NotLeader -> leader = reply.leader?.takeIf { it != target && it !in refused }
                is ServiceReply.Unavailable -> Unit
                else -> return reply
            }
            if (reply !is ServiceReply.NotLeader && leader == target) leader = null
            refused = refused + target
        }
    }

    /** Another replica is called if [target] is silent, or if another one is named as the leader meanwhile. */
    private fun patience(remaining: Duration, target: InstanceName): CallPatience {
        val known = leader
        return CallPatience(remaining, CALL_PATIENCE) { leader.let { it != null && it != known && it != target } }
    }

    private fun target(refused: Set<InstanceName>): InstanceName? {
        val known = leader?.takeIf { it !in refused && it in links.connected }
        return known ?: links.connected.firstOrNull { it !in refused }
    }

    private suspend fun inform() {
        while (!isInformed) {
            when (val reply = callLeader(ServiceCall.NewestConfiguration, INFORM_TIMEOUT)) {
                is ServiceReply.Document -> {
                    take(reply)
                    isInformed = true
                }

                is ServiceReply.NotFound -> isInformed = true

                else -> delay(RETRY_INTERVAL)
            }
        }
        logger.info { "event=informed revision=$revision" }
    }

    override fun onOpen(link: LinkConnection): Unit = Unit

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        when (message) {
            is ServiceMessage.Reply -> calls.onReply(message)
            is ServiceMessage.Members -> onMembers(message)
            is ServiceMessage.Configured -> fetchIfNewer(link, message.revision)
            is LinkMessage.Heartbeat -> fetchIfNewer(link, message.settingsRevision)
            is ServiceMessage.Upstreams -> observer.onUpstreams(message.entries)
            else -> Unit
        }
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause): Unit = calls.onClosed(link)

    private fun onMembers(message: ServiceMessage.Members) {
        if (message.leader != null) leader = message.leader
        if (message.members.isEmpty()) return
        val named = message.members.toSet()
        if (named == members) return
        members = named
        links.keep(named + seeds)
        logger.info { "event=members-known members=${named.joinToString(",")} leader=${message.leader}" }
    }

    /**
     * Several replicas announce the same revision, and one that starts announces many. One replica is asked at a time,
     * and another if it doesn't answer soon; what was announced meanwhile is fetched afterwards.
     */
    @Synchronized
    private fun fetchIfNewer(link: LinkConnection, announced: Revision) {
        if (announced <= revision) return
        if (announced >= (newest?.revision ?: Revision.NONE)) newest = Announcement(link, announced)
        val now = clock()
        if (fetchStarted?.let { now - it < FETCH_PATIENCE } == true) return
        fetchStarted = now
        scope.launch { fetch(link) }
    }

    private suspend fun fetch(link: LinkConnection) {
        val reply = calls.call(link, ServiceCall.AppliedConfiguration(revision), CallPatience(FETCH_TIMEOUT))
        if (reply is ServiceReply.Document) take(reply)
        onFetched(isAnswered = reply is ServiceReply.Document)
    }

    @Synchronized
    private fun onFetched(isAnswered: Boolean) {
        if (!isAnswered) return
        fetchStarted = null
        newest?.let { fetchIfNewer(it.link, it.revision) }
    }

    @Synchronized
    private fun take(document: ServiceReply.Document) {
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
        val INFORM_TIMEOUT = 1.seconds

        /**
         * A leader sends heartbeats each 400 ms; one that is frozen sends nothing. One that is late and sends something
         * is not called again, since a second call makes it later.
         */
        val CALL_PATIENCE = 700.milliseconds
        val FETCH_TIMEOUT = 1.seconds

        /** A replica in the same region answers many times faster. */
        val FETCH_PATIENCE = 150.milliseconds
    }
}
