package org.zinniahoist.gateway.link

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.ServiceCall
import org.zinniahoist.wire.ServiceMessage
import org.zinniahoist.wire.ServiceReply
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * Limits how long a caller waits for a reply.
 *
 * @property timeout maximum time until the reply.
 * @property silence maximum time without any data received on the link.
 * @property isOutdated returns true once the caller should call another replica instead.
 */
internal class CallLimits(
    val timeout: Duration,
    val silence: Duration = timeout,
    val isOutdated: () -> Boolean = { false },
)

/** Sends calls over links and correlates them with their replies. */
internal class ServiceCalls(private val clock: () -> Moment) {
    private val pending = ConcurrentHashMap<Long, PendingCall>()
    private val next = AtomicLong()

    /** Allocates the number of a request, which stays the same for its retries. */
    fun newRequest(): Long = next.incrementAndGet()

    /**
     * Calls the replica at the other end of [link]. Returns null if the call exceeds its [limits], becomes outdated or
     * can't be sent, or if the link closes before the reply arrives. A call with the [request] number of an earlier one
     * replaces it, as no caller waits for the reply to the earlier one any more.
     */
    suspend fun call(
        link: LinkConnection,
        call: ServiceCall,
        limits: CallLimits,
        request: Long = newRequest(),
    ): ServiceReply? {
        val identifier = next.incrementAndGet()
        val pendingCall = PendingCall(link)
        pending[identifier] = pendingCall
        val message = ServiceMessage.Call(identifier, call, limits.timeout.inWholeMilliseconds, request)
        try {
            return withTimeoutOrNull(limits.timeout) {
                if (link.send(message)) pendingCall.await(limits) else null
            }
        } finally {
            pending.remove(identifier)
        }
    }

    private suspend fun PendingCall.await(limits: CallLimits): ServiceReply? {
        val silence = SilenceDetector(limits.silence, clock(), link.received)
        while (!answer.isCompleted) {
            withTimeoutOrNull(SilenceDetector.CHECK_INTERVAL) { answer.join() }
            val isAbandoned = limits.isOutdated() || silence.check(clock(), link.received)
            if (isAbandoned && !answer.isCompleted) return null
        }
        return answer.await()
    }

    /** Completes the pending call that [reply] belongs to. */
    fun onReply(reply: ServiceMessage.Reply) {
        pending.remove(reply.identifier)?.answer?.complete(reply.reply)
    }

    /** Completes all pending calls on a closed link without a reply. */
    fun onClosed(link: LinkConnection) {
        pending.values.filter { it.link === link }.forEach { it.answer.complete(null) }
    }

    private class PendingCall(val link: LinkConnection) {
        val answer = CompletableDeferred<ServiceReply?>()
    }
}
