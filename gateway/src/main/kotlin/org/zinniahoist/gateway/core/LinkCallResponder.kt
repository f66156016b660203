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
 * Replies to calls of other processes, and drops calls whose caller no longer waits. An overloaded process finds many
 * queued calls that timed out and were retried; serving those too would increase its delay further.
 *
 * @param unsentBytes returns the bytes queued for sending on all inbound links.
 */
internal class LinkCallResponder(
    private val jobs: JobCallHandler,
    private val clock: () -> Moment,
    private val unsentBytes: () -> Long,
) {
    private val callsByLink = ConcurrentHashMap<LinkConnection, LinkCalls>()
    private val callsInProgress = AtomicInteger()

    /** Number of calls whose reply is not queued yet. */
    val inProgress: Int get() = callsInProgress.get()

    /** Starts accepting calls on [link]. */
    fun onOpen(link: LinkConnection) {
        callsByLink[link] = LinkCalls()
    }

    /** Cancels the pending calls of [link], which has closed. */
    fun onClosed(link: LinkConnection) {
        callsByLink.remove(link)?.isOpen = false
    }

    /** Registers call [message], read from [link] now. Returns null if the link has closed. */
    fun begin(link: LinkConnection, message: ServiceMessage.Call): PendingCall? {
        val calls = callsByLink[link] ?: return null
        message.request?.let { calls.newest[it] = message.identifier }
        val deadline = message.patienceMilliseconds?.let { clock() + it.milliseconds }
        return PendingCall(link, calls, message, deadline)
    }

    /** Sends the reply to [pending] unless its caller stops waiting first. */
    suspend fun answer(pending: PendingCall) {
        callsInProgress.incrementAndGet()
        try {
            val reply = jobs.answer(pending.message.call, pending)
            if (pending.isWaiting) pending.link.send(ServiceMessage.Reply(pending.message.identifier, reply))
        } finally {
            callsInProgress.decrementAndGet()
            pending.finish()
        }
    }

    /** State of the calls on one link. */
    internal class LinkCalls {
        /** Identifier of the latest call for each request in progress; earlier calls were superseded by a retry. */
        val newest = ConcurrentHashMap<Long, Long>()

        /** Held from the capacity check until the page is queued, so that two pages do not use the same capacity. */
        val queueing = Mutex()

        @Volatile
        var isOpen = true
    }

    /** A call on [link] whose caller waits until [deadline], or for an unknown time if [deadline] is null. */
    internal inner class PendingCall(
        val link: LinkConnection,
        private val calls: LinkCalls,
        val message: ServiceMessage.Call,
        private val deadline: Moment?,
    ) : ReplyRecipient {
        private val isNewest: Boolean get() = message.request?.let { calls.newest[it] == message.identifier } ?: true

        override val isWaiting: Boolean get() = calls.isOpen && isNewest && (deadline == null || clock() < deadline)

        override suspend fun awaitCapacity(): Boolean {
            calls.queueing.lock(owner = this)
            // A call without a deadline is rejected immediately if there is no capacity.
            if (deadline == null) return hasCapacity(MAXIMUM_UNSENT_BYTES_PER_LINK)
            while (isWaiting) {
                if (hasCapacity(PAGE_UNSENT_BYTES_PER_LINK)) return true
                delay(CAPACITY_CHECK_INTERVAL)
            }
            return false
        }

        private fun hasCapacity(linkLimit: Long): Boolean =
            link.unsent.bytes < linkLimit && unsentBytes() < MAXIMUM_UNSENT_BYTES

        fun finish() {
            if (calls.queueing.holdsLock(this)) calls.queueing.unlock(owner = this)
            message.request?.let { calls.newest.remove(it, message.identifier) }
        }
    }

    private companion object {
        /** Limit of queued bytes on one link for calls without a deadline; a few result pages. */
        const val MAXIMUM_UNSENT_BYTES_PER_LINK = 4L shl 20

        /**
         * Limit of queued bytes on one link for calls with a deadline. Allows the next page to be built while one is
         * sent; with a longer queue, callers may time out before their page is sent.
         */
        const val PAGE_UNSENT_BYTES_PER_LINK = 512L shl 10

        /** Limit of queued bytes on all links; an eighth of the heap of a core with 460 MB. */
        const val MAXIMUM_UNSENT_BYTES = 32L shl 20

        /** Polling interval for send capacity; a fraction of the time that sending one page takes. */
        val CAPACITY_CHECK_INTERVAL = 10.milliseconds
    }
}
