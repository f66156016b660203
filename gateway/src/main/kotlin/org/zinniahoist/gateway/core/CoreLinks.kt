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
import org.zinniahoist.model.Role
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
 * Links of a replica: it dials the other replicas to send to them, and everybody dials it to ask. A replica that it
 * doesn't dial, because its log does not name it yet, is answered on the link on which it asked.
 */
internal class CoreLinks(
    private val machineName: String,
    hello: LinkMessage.Hello,
    jobs: JobCalls,
    private val scope: CoroutineScope,
    clock: () -> Moment,
) : LinkHandler {
    private val self = hello.instance
    private val inbound = ConcurrentHashMap.newKeySet<LinkConnection>()
    private val machines = ConcurrentHashMap<String, InstanceName>(mapOf(machineName to self))
    private val peers = PeerLinks(hello, Outbound(), clock, onRefused = { host.reportStopped(it) })

    @Volatile
    private var lastMembers = KnownMembers(ServiceMessage.Members(emptyList(), leader = null), hearsLeader = false)

    /** What another replica said of the members last, and the link on which it said so. */
    @Volatile
    private var told: Pair<LinkConnection, ServiceMessage.Members>? = null

    /** Sends the platform's list to the entries. */
    val upstreams = UpstreamPublisher()

    /** The replica that messages are for; set before links are accepted. */
    lateinit var host: GroupHost

    private val answers = LinkAnswers(jobs, clock) { inbound.sumOf { it.unsent.bytes } }

    /** Calls of other processes without an answer that is queued. */
    val callsInProgress: Int get() = answers.inProgress

    /** What waits for sending on each link. */
    val unsent: List<UnsentFrames> get() = (peers.links + inbound).map { it.unsent }

    /** Returns the replica on the machine with the operator's name [machine], or null. */
    fun replicaOn(machine: String): InstanceName? = machines[machine]

    /** Replicas that can be reached, this one included. */
    val reachable: Set<InstanceName> get() = peers.connected + self

    /** Sends [message] if there is a link; it is encoded only then. */
    fun send(instance: InstanceName, message: ReplicaMessage) {
        val link = peers.link(instance) ?: inbound.find { it.peer.instance == instance } ?: return
        link.offer(ControlMessage.ReplicaTraffic(ReplicaGroup.NAME, StateCodec.encode(message)))
    }

    /** The members of the group as a replica that hears the leader named them; null if its link has closed. */
    val membersTold: ServiceMessage.Members? get() = told?.second

    /**
     * Keeps links to the other [replicas] and tells everybody about the members: [own], if this replica hears a leader,
     * or else what it is told. Its own log may name former members then, if it was replaced while it was away.
     */
    fun update(replicas: Set<InstanceName>, own: ServiceMessage.Members) {
        peers.keep(replicas - self)
        val hearsLeader = own.leader != null
        val present = KnownMembers(if (hearsLeader) own else membersTold ?: own, hearsLeader)
        if (present == lastMembers) return
        lastMembers = present
        logger.info {
            "event=members members=${present.members.members.joinToString(",")} leader=${present.members.leader}"
        }
        (inbound + peers.links).forEach(::tellMembers)
    }

    /** Other replicas are told only by one that hears the leader: one outside the group may know former members. */
    private fun tellMembers(link: LinkConnection) {
        val present = lastMembers
        val isTold = present.hearsLeader || Role.ENTRY in link.peer.roles
        if (isTold && present.members.leader != null) link.offer(present.members)
    }

    /** Tells everybody that [revision] is applied here. */
    fun announce(revision: Revision) = inbound.forEach { it.offer(ServiceMessage.Configured(revision)) }

    override fun onOpen(link: LinkConnection) {
        inbound += link
        answers.onOpen(link)
        tellMembers(link)
        upstreams.onOpen(link)
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        when (message) {
            is ControlMessage.ReplicaTraffic -> receive(message)
            is ServiceMessage.Members -> told = link to message
            is ServiceMessage.Machine -> machines[message.node] = link.peer.instance
            is ServiceMessage.Call -> answers.begin(link, message)?.let { scope.launch { answers.answer(it) } }
            else -> Unit
        }
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
        answers.onClosed(link)
        upstreams.onClosed(link)
        forget(link)
    }

    private fun forget(link: LinkConnection) {
        if (told?.first === link) told = null
    }

    fun close(): Unit = peers.close()

    private inner class Outbound : LinkHandler {
        override fun onOpen(link: LinkConnection) {
            link.offer(ServiceMessage.Machine(machineName))
            tellMembers(link)
        }

        override suspend fun onMessage(link: LinkConnection, message: Message) {
            when (message) {
                is ControlMessage.ReplicaTraffic -> receive(message)
                is ServiceMessage.Members -> told = link to message
                else -> Unit
            }
        }

        override fun onClosed(link: LinkConnection, cause: LinkCloseCause): Unit = forget(link)
    }

    /** Members of the group, and whether this replica hears their leader. */
    private data class KnownMembers(
        val members: ServiceMessage.Members,
        val hearsLeader: Boolean,
    )

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
