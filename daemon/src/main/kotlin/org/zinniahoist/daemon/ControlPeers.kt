package org.zinniahoist.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.zinniahoist.daemon.control.ControlLinks
import org.zinniahoist.daemon.control.RemoteControlClient
import org.zinniahoist.daemon.control.SettingsFollower
import org.zinniahoist.daemon.sidecar.Sidecar
import org.zinniahoist.model.InstanceName
import org.zinniahoist.wire.ControlMessage
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.Message

/** Handles the links that a daemon opens to the control replicas. */
internal class ControlPeers(
    private val client: RemoteControlClient,
    private val follower: SettingsFollower,
    private val scope: CoroutineScope,
    private val upstream: InstanceName?,
    private val replicas: ControlLinks?,
    private val onDrain: () -> Unit,
) : LinkHandler {
    /** Set once the sidecar exists, which needs the client of these links. */
    @Volatile
    var sidecar: Sidecar? = null

    override fun onOpen(link: LinkConnection) {
        client.onOpen(link)
        replicas?.onReplicaLink(link)
        subscribe(link)
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        when (message) {
            is ControlMessage.ControlReply -> client.onReply(message)
            is ControlMessage.SettingsUpdate -> if (!follower.onUpdate(message)) {
                scope.launch {
                    follower.readFromGroup()
                }
            }
            is ControlMessage.OrdersUpdate -> sidecar?.onMessage(link, message)
            is ControlMessage.Drain -> onDrain()
            is LinkMessage.Heartbeat -> if (message.settingsRevision > follower.revision) subscribe(link)
            else -> Unit
        }
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause) {
        client.onClosed(link)
        replicas?.onClosed(link)
    }

    private fun subscribe(link: LinkConnection) {
        link.offer(ControlMessage.Subscribe(follower.revision, upstream))
    }
}
