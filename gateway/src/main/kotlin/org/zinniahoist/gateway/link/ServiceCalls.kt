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
 * When a caller gives up.
 *
 * @property timeout longest time without an answer.
 * @property silence longest time in which nothing at all is received on the link.
 * @property isOutdated true once another replica is to be called.
 */
internal class CallPatience(
    val timeout: Duration,
    val silence: Duration = timeout,
    val isOutdated: () -> Boolean = { false },
)

/** Calls over links and their answers. */
internal class ServiceCalls(private val clock: () -> Moment) {
    private val pending = ConcurrentHashMap<Long, Pending>()
    private val next = AtomicLong()

    /** Returns a number for a request that may be sent several times. */
    fun newRequest(): Long = next.incrementAndGet()

    /**
     * Calls the replica at the other end of [link]; returns null if the caller gives up before there is an answer. A
     * call with the number of an earlier one as its [request] replaces that one, and nobody waits for the earlier
     * answer any more.
     */
    suspend fun call(
        link: LinkConnection,
        call: ServiceCall,
        patience: CallPatience,
        request: Long = newRequest(),
    ): ServiceReply? {
        val identifier = next.incrementAndGet()
        val waiting = Pending(link)
        pending[identifier] = waiting
        val message = ServiceMessage.Call(identifier, call, patience.timeout.inWholeMilliseconds, request)
        try {
            return withTimeoutOrNull(patience.timeout) {
                if (link.send(message)) waiting.await(patience) else null
            }
        } finally {
            pending.remove(identifier)
        }
    }

    private suspend fun Pending.await(patience: CallPatience): ServiceReply? {
        val silence = AnswerSilence(patience.silence, clock(), link.received)
        while (!answer.isCompleted) {
            withTimeoutOrNull(AnswerSilence.CHECK_INTERVAL) { answer.join() }
            val isGivenUp = patience.isOutdated() || silence.check(clock(), link.received)
            if (isGivenUp && !answer.isCompleted) return null
        }
        return answer.await()
    }

    /** Completes the call that [reply] answers. */
    fun onReply(reply: ServiceMessage.Reply) {
        pending.remove(reply.identifier)?.answer?.complete(reply.reply)
    }

    /** Ends the calls on a closed link. */
    fun onClosed(link: LinkConnection) {
        pending.values.filter { it.link === link }.forEach { it.answer.complete(null) }
    }

    private class Pending(val link: LinkConnection) {
        val answer = CompletableDeferred<ServiceReply?>()
    }
}
