package org.zinniahoist.gateway.core

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import org.zinniahoist.model.Moment
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.ServiceMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/**
 * Answers the calls of other processes, each as long as its caller waits. A late process finds many calls whose
 * callers have given up and called again; to answer these as well would make it later still.
 *
 * @param unsentBytes what waits for sending on all links of callers.
 */
internal class LinkAnswers(
    private val jobs: JobCalls,
    private val clock: () -> Moment,
    private val unsentBytes: () -> Long,
) {
    private val callsByLink = ConcurrentHashMap<LinkConnection, CallsOfLink>()
    private val answering = AtomicInteger()

    /** Calls without an answer that is queued. */
    val inProgress: Int get() = answering.get()

    /** The link is open and calls may come. */
    fun onOpen(link: LinkConnection) {
        callsByLink[link] = CallsOfLink()
    }

    /** Nobody waits any more for answers on [link]. */
    fun onClosed(link: LinkConnection) {
        callsByLink.remove(link)?.isOpen = false
    }

    /** Notes that [message] was read from [link] now. Returns null if the link has closed. */
    fun begin(link: LinkConnection, message: ServiceMessage.Call): PendingAnswer? {
        val calls = callsByLink[link] ?: return null
        message.request?.let { calls.newest[it] = message.identifier }
        val deadline = message.patienceMilliseconds?.let { clock() + it.milliseconds }
        return PendingAnswer(link, calls, message, deadline)
    }

    /** Answers [pending] unless its caller gives up before. */
    suspend fun answer(pending: PendingAnswer) {
        answering.incrementAndGet()
        try {
            val reply = jobs.answer(pending.message.call, pending)
            if (pending.isWaiting) pending.link.send(ServiceMessage.Reply(pending.message.identifier, reply))
        } finally {
            answering.decrementAndGet()
            pending.finish()
        }
    }

    /** What is known of the calls on one link. */
    internal class CallsOfLink {
        /** The last call of each request that is in progress. */
        val newest = ConcurrentHashMap<Long, Long>()

        /** Held from the search for room until the page is queued, so that two pages don't take the same room. */
        val queueing = Mutex()

        @Volatile
        var isOpen = true
    }

    /** A call on [link] whose caller waits until [deadline], or for an unknown time if it is null. */
    internal inner class PendingAnswer(
        val link: LinkConnection,
        private val calls: CallsOfLink,
        val message: ServiceMessage.Call,
        private val deadline: Moment?,
    ) : AnswerRecipient {
        private val isNewest: Boolean get() = message.request?.let { calls.newest[it] == message.identifier } ?: true

        override val isWaiting: Boolean get() = calls.isOpen && isNewest && (deadline == null || clock() < deadline)

        override suspend fun awaitRoom(): Boolean {
            calls.queueing.lock(owner = this)
            // A caller that does not say how long it waits is refused at once.
            if (deadline == null) return hasRoom(MAXIMUM_UNSENT_OF_LINK)
            while (isWaiting) {
                if (hasRoom(PAGE_UNSENT_OF_LINK)) return true
                delay(ROOM_CHECK_INTERVAL)
            }
            return false
        }

        private fun hasRoom(ofLink: Long): Boolean = link.unsent.bytes < ofLink && unsentBytes() < MAXIMUM_UNSENT

        fun finish() {
            if (calls.queueing.holdsLock(this)) calls.queueing.unlock(owner = this)
            message.request?.let { calls.newest.remove(it, message.identifier) }
        }
    }

    private companion object {
        /** Some pages of results, in bytes. */
        const val MAXIMUM_UNSENT_OF_LINK = 4L shl 20

        /** The next page is made while one is sent; what waits longer may lose its reader before it is sent. */
        const val PAGE_UNSENT_OF_LINK = 512L shl 10

        /** An eighth of the heap of a core with 460 MB, in bytes. */
        const val MAXIMUM_UNSENT = 32L shl 20

        /** A fraction of the time in which a page is sent. */
        val ROOM_CHECK_INTERVAL = 10.milliseconds
    }
}
