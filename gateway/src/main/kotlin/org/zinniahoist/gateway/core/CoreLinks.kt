package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.zinniahoist.consensus.GroupHost
import org.zinniahoist.consensus.ReplicaMessage
import org.zinniahoist.gateway.link.PeerLinks
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Revision
import org.zinniahoist.state.StateCodec
import org.zinniahoist.wire.ControlMessage
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.ServiceMessage
import org.zinniahoist.wire.UnsentFrames
import java.util.concurrent.ConcurrentHashMap

/**
 * Manages the links of a replica: outbound links to the other replicas, and inbound links on which replicas and other
 * processes send calls. A replica that is not yet in this replica's log has no outbound link, so messages to it use its
 * inbound link.
 */
internal class CoreLinks(
    private val machineName: String,
    hello: LinkMessage.Hello,
    jobs: JobCallHandler,
    private val scope: CoroutineScope,
    private val crashes: CrashReportRelay,
    clock: () -> Moment,
) : LinkHandler {
    private val self = hello.instance
    private val inbound = ConcurrentHashMap.newKeySet<LinkConnection>()
    private val machines = ConcurrentHashMap<String, InstanceName>(mapOf(machineName to self))
    private val peers = PeerLinks(hello, Outbound(), clock, onRefused = { host.reportStopped(it) })

    private val members = MembersPublisher()

    /** Publishes the platform's upstream list to the entries. */
    val upstreams = UpstreamPublisher()

    /** The local replica, which receives the consensus messages; set before links are accepted. */
    lateinit var host: GroupHost

    private val responder = LinkCallResponder(jobs, clock) { inbound.sumOf { it.unsent.bytes } }

    /** Number of calls from other processes whose reply is not queued yet. */
    val callsInProgress: Int get() = responder.inProgress

    /** Frames that are queued but not yet sent, one entry per link. */
    val unsent: List<UnsentFrames> get() = (peers.links + inbound).map { it.unsent }

    /** Returns the replica on the machine that operators name [machine], or null if it is unknown. */
    fun replicaOn(machine: String): InstanceName? = machines[machine]

    /** Replicas to which outbound links are open or being opened. */
    val dialled: Set<InstanceName> get() = peers.dialled

    /** Replicas with an open outbound link, and this replica itself. */
    val reachable: Set<InstanceName> get() = peers.connected + self

    /** Sends [message] if a link to [instance] is open; drops it without encoding otherwise. */
    fun send(instance: InstanceName, message: ReplicaMessage) {
        val link = peers.link(instance) ?: inbound.find { it.peer.instance == instance } ?: return
        link.offer(ControlMessage.ReplicaTraffic(ReplicaGroup.NAME, StateCodec.encode(message)))
    }

    /** The newest members that another replica announced on an open link, or null. */
    val reportedMembers: ServiceMessage.Members? get() = members.reported

    /**
     * Maintains links to the other [replicas] and announces the members: [own] if it names a leader, otherwise the
     * newest ones that another replica announced.
     */
    fun update(replicas: Set<InstanceName>, own: ServiceMessage.Members) {
        peers.keep(replicas - self)
        members.update(own)
    }

    /** Notifies all inbound links that this replica has applied configuration [revision]. */
    fun notifyApplied(revision: Revision) = inbound.forEach { it.offer(ServiceMessage.Configured(revision)) }

    override fun onOpen(link: LinkConnection) {
        inbound += link
        responder.onOpen(link)
        members.onOpen(link)
        upstreams.onOpen(link)
        crashes.onOpen(link)
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        when (message) {
            is ControlMessage.ReplicaTraffic -> receive(message)
            is ServiceMessage.Members -> members.onMembers(link, message)
            is ServiceMessage.Machine -> onMachine(message.node, link.peer.instance)
            is ServiceMessage.Crashes -> crashes.onReport(link, message)
            is ServiceMessage.Call -> responder.begin(link, message)?.let { scope.launch { responder.answer(it) } }
            else -> Unit
        }
    }

    /** Records that [machine] runs [instance], whose address may have belonged to another machine before. */
    private fun onMachine(machine: String, instance: InstanceName) {
        machines.values.remove(instance)
        machines[machine] = instance
    }

    private fun receive(traffic: ControlMessage.ReplicaTraffic) {
        try {
            host.receive(StateCodec.decode<ReplicaMessage>(traffic.content))
        } catch (fault: IllegalArgumentException) {
            logger.warn { "event=replica-message-damaged detail=\"${fault.message}\"" }
        }
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause) {
        inbound -= link
        responder.onClosed(link)
        upstreams.onClosed(link)
        crashes.onClosed(link)
        members.onClosed(link)
    }

    fun close(): Unit = peers.close()

    private inner class Outbound : LinkHandler {
        override fun onOpen(link: LinkConnection) {
            link.offer(ServiceMessage.Machine(machineName))
            members.onOpen(link)
        }

        override suspend fun onMessage(link: LinkConnection, message: Message) {
            when (message) {
                is ControlMessage.ReplicaTraffic -> receive(message)
                is ServiceMessage.Members -> members.onMembers(link, message)
                is ServiceMessage.Crashes -> crashes.onReport(link, message)
                else -> Unit
            }
        }

        override fun onClosed(link: LinkConnection, cause: LinkCloseCause): Unit = members.onClosed(link)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
