package org.zinniahoist.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.daemon.control.ControlLinks
import org.zinniahoist.daemon.control.EngineObserver
import org.zinniahoist.daemon.sidecar.Sidecar
import org.zinniahoist.model.Role
import org.zinniahoist.wire.AttemptMessage
import org.zinniahoist.wire.ControlMessage
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.PeerMessage
import org.zinniahoist.wire.ServiceMessage

/** Passes the links that a daemon accepts to the roles that it runs. */
internal class DaemonLinks(
    private val sidecar: Sidecar?,
    private val entryPeers: LinkHandler?,
    private val control: ControlLinks?,
    private val observer: EngineObserver?,
) : LinkHandler {
    override fun onOpen(link: LinkConnection) {
        if (Role.ENTRY in link.peer.roles) {
            sidecar?.onOpen(link)
            entryPeers?.onOpen(link)
        }
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        when (message) {
            is AttemptMessage -> sidecar?.onMessage(link, message)
            is PeerMessage -> entryPeers?.onMessage(link, message)
            is ControlMessage -> control?.onMessage(link, message)
            is ServiceMessage -> logger.warn { "event=message-of-other-role peer=${link.peer.instance}" }
            is LinkMessage.Heartbeat -> observer?.onHeartbeat(link.peer, message)
            is LinkMessage -> Unit
        }
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause) {
        if (Role.ENTRY in link.peer.roles) {
            sidecar?.onClosed(link, cause)
            entryPeers?.onClosed(link, cause)
        }
        control?.onClosed(link)
        observer?.onClosed(link.peer)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
