package org.zinniahoist.daemon.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Role
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkHandler
import org.zinniahoist.wire.Message
import org.zinniahoist.wire.PeerMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Calls other entries over the links that this entry opened. */
internal class PeerClient : LinkHandler {
    private val links = ConcurrentHashMap<InstanceName, LinkConnection>()
    private val pending = ConcurrentHashMap<Long, PendingCall>()
    private val identifiers = AtomicLong()

    /** Returns the reply of [peer], or null if no link is open, the link is lost or [budget] expires. */
    suspend fun call(
        peer: InstanceName,
        method: String,
        target: String,
        body: ByteArray,
        budget: Duration,
    ): PeerMessage.PeerReply? {
        val link = links[peer] ?: return null
        val identifier = identifiers.incrementAndGet()
        val call = PendingCall(link, CompletableDeferred())
        pending[identifier] = call
        return try {
            val message = PeerMessage.PeerCall(identifier, method, target, body, budget.inWholeMilliseconds)
            withTimeoutOrNull(budget) { if (link.send(message) && links[peer] === link) call.reply.await() else null }
        } finally {
            pending.remove(identifier)
        }
    }

    override fun onOpen(link: LinkConnection) {
        links[link.peer.instance] = link
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        if (message is PeerMessage.PeerReply) {
            pending[message.identifier]?.takeIf { it.link === link }?.reply?.complete(message)
        }
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause) {
        links.remove(link.peer.instance, link)
        pending.values.filter { it.link === link }.forEach { it.reply.complete(null) }
    }

    private class PendingCall(
        val link: LinkConnection,
        val reply: CompletableDeferred<PeerMessage.PeerReply?>,
    )
}

/** Handles the calls of other entries on the links that they opened. */
internal class PeerCallHandler(
    private val scope: CoroutineScope,
    private val answer: suspend (PeerMessage.PeerCall) -> TrainerResponse,
) : LinkHandler {
    override fun onOpen(link: LinkConnection) {
        if (Role.ENTRY !in link.peer.roles) link.close("only entries call an entry")
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        if (message !is PeerMessage.PeerCall) return
        scope.launch {
            val answer = answer(message)
            link.send(PeerMessage.PeerReply(message.identifier, answer.status, answer.contentType, answer.body))
        }
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause): Unit = Unit
}
