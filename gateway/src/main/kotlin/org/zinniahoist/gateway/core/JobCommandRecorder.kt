package org.zinniahoist.gateway.core

import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.state.service.JobIdentifier
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Records values of items in the log, and retries until they are in the replicated state. All functions run on the
 * engine thread.
 *
 * Each job has at most one command in flight; the values that arrive in the meantime share the next one.
 *
 * @param propose proposes values of one job; its last argument is called on the engine thread with any reply.
 * @param isRecorded returns whether the replicated state includes a value.
 * @param onRecorded called once the value of an item is in the replicated state.
 */
internal class JobCommandRecorder<V>(
    private val clock: () -> Moment,
    private val propose: (JobIdentifier, Map<ItemKey, V>, () -> Unit) -> Unit,
    private val isRecorded: (ItemKey, V) -> Boolean,
    private val onRecorded: (ItemKey) -> Unit,
) {
    private val pending = LinkedHashMap<ItemKey, V>()

    /** Time at which the next command of a job may be proposed. */
    private val nextProposals = HashMap<String, Moment>()

    /** Returns true while the value of the item with [key] is not known to be recorded. */
    operator fun contains(key: ItemKey): Boolean = key in pending

    /** Records [value] of the item with [key]. */
    fun record(key: ItemKey, value: V) {
        pending[key] = value
        if (key.job !in nextProposals) proposeNext(key.job)
    }

    /** Proposes the commands again that failed or have no reply. */
    fun tick() {
        val now = clock()
        nextProposals.filterValues { now >= it }.keys.forEach(::proposeNext)
    }

    /** Discards the values of [job]. */
    fun forget(job: String) {
        pending.keys.removeIf { it.job == job }
        nextProposals.remove(job)
    }

    /** Discards all values. */
    fun clear() {
        pending.clear()
        nextProposals.clear()
    }

    private fun proposeNext(job: String) {
        val unrecorded = pending.entries.filter { it.key.job == job }.take(MAXIMUM_VALUES).associate { it.toPair() }
        if (unrecorded.isEmpty()) {
            nextProposals.remove(job)
            return
        }
        val expiry = clock() + REPLY_TIMEOUT
        nextProposals[job] = expiry
        propose(JobIdentifier(job), unrecorded) { onReply(job, expiry) }
    }

    /** Confirms the values that are in the replicated state, whatever the reply: a lost command may be applied. */
    private fun onReply(job: String, expiry: Moment) {
        val recorded = pending.filter { (key, value) -> key.job == job && isRecorded(key, value) }.keys.toList()
        recorded.forEach(pending::remove)
        // A later command of the job is in flight if this reply arrived after its timeout.
        if (nextProposals[job] == expiry) {
            if (recorded.isEmpty()) nextProposals[job] = clock() + RETRY_DELAY else proposeNext(job)
        }
        recorded.forEach(onRecorded)
    }

    private companion object {
        /** A command that failed is proposed again after this time. */
        val RETRY_DELAY = 100.milliseconds

        /** A command without a reply is proposed again after this time. */
        val REPLY_TIMEOUT = 5.seconds

        /** Number of values at which a command is full. */
        const val MAXIMUM_VALUES = 100
    }
}
