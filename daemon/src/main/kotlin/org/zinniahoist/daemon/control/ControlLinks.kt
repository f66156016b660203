package org.zinniahoist.daemon.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.zinniahoist.consensus.ReplicaTransport
import org.zinniahoist.model.InstanceName
import org.zinniahoist.state.StateCodec
import org.zinniahoist.wire.ControlMessage
import org.zinniahoist.wire.LinkConnection
import java.util.concurrent.ConcurrentHashMap

/** Serves the links of other daemons to a control replica and carries the traffic between replicas. */
public class ControlLinks(
    private val publisher: SettingsPublisher,
    private val scope: CoroutineScope,
) {
    private val replicas = ConcurrentHashMap<InstanceName, LinkConnection>()
    private val subscribers = ConcurrentHashMap<LinkConnection, ControlMessage.Subscribe>()

    @Volatile
    private var draining: Set<InstanceName> = emptySet()

    @Volatile
    private var groups: ControlGroups? = null

    /** Serves calls from now on with [groups]. */
    public fun serve(groups: ControlGroups) {
        this.groups = groups
    }

    /** Returns the transport of the replicas of [group]. Messages to replicas without a link are dropped. */
    public fun transport(group: String): ReplicaTransport = ReplicaTransport { instance, message ->
        replicas[instance]?.offer(ControlMessage.ReplicaTraffic(group, StateCodec.encode(message)))
    }

    /** Sends traffic for the replica on the other side over [link] from now on. */
    public fun onReplicaLink(link: LinkConnection) {
        replicas[link.peer.instance] = link
    }

    /** Forgets a closed link. */
    public fun onClosed(link: LinkConnection) {
        replicas.remove(link.peer.instance, link)
        subscribers.remove(link)
    }

    /** Handles a message of another daemon. */
    public fun onMessage(link: LinkConnection, message: ControlMessage) {
        when (message) {
            is ControlMessage.ReplicaTraffic -> groups?.receive(message)

            is ControlMessage.ControlCall -> scope.launch { groups?.call(message)?.let { link.send(it) } }

            is ControlMessage.Subscribe -> {
                subscribers[link] = message
                update(link, message)
                if (link.peer.instance in draining) link.offer(ControlMessage.Drain(link.peer.instance))
            }

            is ControlMessage.ControlReply,
            is ControlMessage.SettingsUpdate,
            is ControlMessage.Drain,
            is ControlMessage.OrdersUpdate,
            -> Unit
        }
    }

    /** Tells the subscribers among [instances] to stop gracefully, now and when they subscribe again. */
    public fun onDrainingChanged(instances: Set<InstanceName>) {
        draining = instances
        subscribers.keys.filter { it.peer.instance in instances }.forEach {
            it.offer(ControlMessage.Drain(it.peer.instance))
        }
    }

    /** Sends the latest tree to each subscriber that was sent an older one. */
    public fun notifySubscribers(): Unit = subscribers.forEach { (link, subscription) -> update(link, subscription) }

    private fun update(link: LinkConnection, subscription: ControlMessage.Subscribe) {
        val update = publisher.updateFrom(subscription.settings) ?: return
        if (link.offer(update)) subscribers[link] = subscription.copy(settings = update.revision)
    }
}
