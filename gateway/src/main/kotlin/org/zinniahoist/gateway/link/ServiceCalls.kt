package org.zinniahoist.gateway.link

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceMessage
import org.zinniahoist.wire.ServiceReply
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Calls over links and their answers. */
public class ServiceCalls {
    private val pending = ConcurrentHashMap<Long, Pending>()
    private val next = AtomicLong()

    /** Calls the replica at the other end of [link]; returns null if no answer comes within [timeout]. */
    public suspend fun call(link: LinkConnection, call: ServiceCall, timeout: Duration): ServiceReply? {
        val identifier = next.incrementAndGet()
        val waiting = Pending(link)
        pending[identifier] = waiting
        try {
            return withTimeoutOrNull(timeout) {
                if (!link.send(ServiceMessage.Call(identifier, call))) null else waiting.answer.await()
            }
        } finally {
            pending.remove(identifier)
        }
    }

    /** Completes the call that [reply] answers. */
    public fun onReply(reply: ServiceMessage.Reply) {
        pending.remove(reply.identifier)?.answer?.complete(reply.reply)
    }

    /** Ends the calls on a closed link. */
    public fun onClosed(link: LinkConnection) {
        pending.values.filter { it.link === link }.forEach { it.answer.complete(null) }
    }

    private class Pending(val link: LinkConnection) {
        val answer = CompletableDeferred<ServiceReply?>()
    }
}
