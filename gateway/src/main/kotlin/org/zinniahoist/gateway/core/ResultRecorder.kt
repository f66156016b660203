package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.wire.ServiceReply
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Proposes results to the replicated log. */
internal fun interface ResultLog {
    /** Proposes [result]; calls [onReply] on the engine thread. */
    fun propose(job: JobIdentifier, result: ItemResult, onReply: (ServiceReply) -> Unit)
}

/** Holds each result until it is committed to the log. All functions run on the engine thread. */
internal class ResultRecorder(
    private val log: ResultLog,
    private val metrics: GatewayMetrics,
) {
    private val pending = LinkedHashMap<ItemKey, Pending>()

    /** Number of results that are not known to be committed. */
    val size: Int get() = pending.size

    /** Returns true while the result of [key] is not known to be committed. */
    operator fun contains(key: ItemKey): Boolean = key in pending

    /** Proposes [result] of [job], and retries until it is committed. */
    fun record(job: JobIdentifier, result: ItemResult, now: Moment) {
        val entry = Pending(job, result, nextAttempt = now)
        pending[entry.key] = entry
        propose(entry, now)
    }

    /** Retries proposals without an outcome. Proposals are idempotent: an item gets one result in the log. */
    fun tick(now: Moment) {
        pending.values.filter { now >= it.nextAttempt }.forEach { propose(it, now) }
    }

    /** Removes the results of [job], which has ended, and returns those that are not known to be committed. */
    fun forget(job: JobIdentifier): List<ItemResult> {
        val unlisted = pending.values.filter { it.job == job }
        unlisted.forEach { pending.remove(it.key) }
        return unlisted.map { it.result }
    }

    /** Discards all results, because the next leader produces them again. */
    fun clear(): Unit = pending.clear()

    private fun propose(entry: Pending, now: Moment) {
        entry.nextAttempt = now + REPLY_TIMEOUT
        log.propose(entry.job, entry.result) { reply -> onReply(entry, reply, now) }
    }

    private fun onReply(entry: Pending, reply: ServiceReply, proposedAt: Moment) {
        if (pending[entry.key] !== entry) return
        metrics.onEvent("result", reply::class.simpleName.orEmpty())
        if (reply is ServiceReply.Done) {
            pending.remove(entry.key)
            return
        }
        logger.warn {
            "event=result-not-recorded job=${entry.job} item=${entry.result.item} reply=${reply::class.simpleName}"
        }
        // The job precedes its results in the log, so an unknown job has expired.
        if (reply is ServiceReply.NotFound) pending.remove(entry.key) else entry.retryLater(proposedAt)
    }

    private class Pending(
        val job: JobIdentifier,
        val result: ItemResult,
        var nextAttempt: Moment,
    ) {
        val key = ItemKey(job.value, result.item)
        private var retryDelay = INITIAL_RETRY_DELAY

        fun retryLater(proposedAt: Moment) {
            nextAttempt = proposedAt + retryDelay
            retryDelay = minOf(retryDelay * 2, MAXIMUM_RETRY_DELAY)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val INITIAL_RETRY_DELAY = 100.milliseconds

        /** Limits the load on a group that keeps rejecting proposals, and the delay once it accepts them again. */
        val MAXIMUM_RETRY_DELAY = 2.seconds

        /** A proposal without a reply is retried after this time. */
        val REPLY_TIMEOUT = 5.seconds
    }
}
