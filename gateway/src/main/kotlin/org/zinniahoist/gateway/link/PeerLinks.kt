package org.zinniahoist.gateway.link

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.HeartbeatContent
import org.zinniahoist.wire.LinkClient
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.Message
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Maintains links to a set of replicas. The instance name of a replica is the address of its link server.
 *
 * @param onRefused called with a replica whose machine refuses the connection because no process listens there.
 */
public class PeerLinks(
    private val hello: LinkMessage.Hello,
    private val handler: LinkHandler,
    private val clock: () -> Moment,
    private val random: Random = Random.Default,
    private val onRefused: (InstanceName) -> Unit = {},
) : AutoCloseable {
    private val clients = ConcurrentHashMap<InstanceName, LinkClient>()
    private val open = ConcurrentHashMap<InstanceName, LinkConnection>()
    private var isClosed = false

    /** Names of the replicas to which links are open or being opened. */
    internal val dialled: Set<InstanceName> get() = clients.keys.toSet()

    /** Names of the replicas with an open link. */
    public val connected: Set<InstanceName> get() = open.keys

    /** Opens links to the replicas in [wanted] and closes all others. Does nothing after [close]. */
    @Synchronized
    public fun keep(wanted: Set<InstanceName>) {
        if (isClosed) return
        for (instance in wanted - clients.keys) connect(instance)
        for (instance in clients.keys - wanted) {
            clients.remove(instance)?.close()
            open.remove(instance)
        }
    }

    /** The open links. */
    public val links: Collection<LinkConnection> get() = open.values

    /** Returns the open link to [instance], or null. */
    public fun link(instance: InstanceName): LinkConnection? = open[instance]

    /** Queues [message] for [instance]. Returns false and drops it if no link is open or the queue is full. */
    public fun offer(instance: InstanceName, message: Message): Boolean = open[instance]?.offer(message) ?: false

    private fun connect(instance: InstanceName) {
        val endpoint = Endpoint.parse(instance.value)
        if (endpoint == null) {
            logger.warn { "event=peer-address-invalid peer=$instance" }
            return
        }
        val client = LinkClient(endpoint, hello, PeerHandler(instance), ::HeartbeatContent, clock, random, LIMITS)
        clients[instance] = client
        client.start()
    }

    @Synchronized
    override fun close() {
        isClosed = true
        clients.values.forEach { it.close() }
        clients.clear()
        open.clear()
    }

    private inner class PeerHandler(private val instance: InstanceName) : LinkHandler {
        override fun onOpen(link: LinkConnection) {
            open[instance] = link
            logger.info { "event=peer-connected peer=$instance" }
            handler.onOpen(link)
        }

        override suspend fun onMessage(link: LinkConnection, message: Message): Unit = handler.onMessage(link, message)

        override fun onRefused() = onRefused(instance)

        override fun onClosed(link: LinkConnection, cause: LinkCloseCause) {
            open.remove(instance, link)
            logger.info { "event=peer-lost peer=$instance cause=\"$cause\"" }
            handler.onClosed(link, cause)
        }
    }

    public companion object {
        private val logger = KotlinLogging.logger {}

        /**
         * Limits of links between gateway processes. A silent link is detected well within the three seconds after
         * which a machine counts as reachable again, and a job with the largest accepted body fits into one frame.
         */
        public val LIMITS: LinkLimits = LinkLimits(
            heartbeatInterval = 400.milliseconds,
            silenceLimit = 1_500.milliseconds,
            // Half of a heartbeat interval; shorter intervals cost a wake-up of the process per link and check.
            checkInterval = 200.milliseconds,
            // A connection attempt to a machine without power never completes, so it has to be retried.
            connectTimeout = 250.milliseconds,
            openTimeout = 1.seconds,
            sendQueueFrames = 1_024,
            maximumFrameBytes = 40 shl 20,
            maximumBackoff = 200.milliseconds,
        )
    }
}
