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

    /** Returns a number for a request that may be sent several times. */
    public fun newRequest(): Long = next.incrementAndGet()

    /**
     * Calls the replica at the other end of [link]; returns null if no answer comes within [timeout]. A call with the
     * number of an earlier one as its [request] replaces that one, and nobody waits for the earlier answer any more.
     */
    public suspend fun call(
        link: LinkConnection,
        call: ServiceCall,
        timeout: Duration,
        request: Long = newRequest(),
    ): ServiceReply? {
        val identifier = next.incrementAndGet()
        val waiting = Pending(link)
        pending[identifier] = waiting
        val message = ServiceMessage.Call(identifier, call, timeout.inWholeMilliseconds, request)
        try {
            return withTimeoutOrNull(timeout) {
                if (!link.send(message)) null else waiting.answer.await()
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
