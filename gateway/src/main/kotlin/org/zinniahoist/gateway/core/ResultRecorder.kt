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

/** Takes results to the replicated log. */
internal fun interface ResultLog {
    /** Proposes [result]; [onReply] is called on the engine's thread. */
    fun propose(job: JobIdentifier, result: ItemResult, onReply: (ServiceReply) -> Unit)
}

/** Holds each result until it is listed. All functions run on the engine's thread. */
internal class ResultRecorder(
    private val log: ResultLog,
    private val metrics: GatewayMetrics,
) {
    private val pending = LinkedHashMap<ItemKey, Pending>()

    /** Results on their way. */
    val size: Int get() = pending.size

    /** True while the result of [key] is on its way. */
    operator fun contains(key: ItemKey): Boolean = key in pending

    /** Lists [result] at the end of the results of [job]. */
    fun record(job: JobIdentifier, result: ItemResult, now: Moment) {
        val entry = Pending(job, result, nextAttempt = now)
        pending[entry.key] = entry
        propose(entry, now)
    }

    /** Proposes again what has no outcome. An item is listed once however often its result is proposed. */
    fun tick(now: Moment) {
        pending.values.filter { now >= it.nextAttempt }.forEach { propose(it, now) }
    }

    /** Forgets the results of [job], which has ended, and returns those that were not listed as far as is known. */
    fun forget(job: JobIdentifier): List<ItemResult> {
        val unlisted = pending.values.filter { it.job == job }
        unlisted.forEach { pending.remove(it.key) }
        return unlisted.map { it.result }
    }

    /** Forgets all results, because another leader makes them now. */
    fun clear(): Unit = pending.clear()

    private fun propose(entry: Pending, now: Moment) {
        entry.nextAttempt = now + ANSWER_PATIENCE
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
        // An unknown job has expired, as it was in the log before its results.
        if (reply is ServiceReply.NotFound) pending.remove(entry.key) else entry.retryLater(proposedAt)
    }

    private class Pending(
        val job: JobIdentifier,
        val result: ItemResult,
        var nextAttempt: Moment,
    ) {
        val key = ItemKey(job.value, result.item)
        private var pause = FIRST_RETRY

        fun retryLater(proposedAt: Moment) {
            nextAttempt = proposedAt + pause
            pause = minOf(pause * 2, LONGEST_RETRY)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val FIRST_RETRY = 100.milliseconds

        /** A group that refuses for long gets few proposals, and one that takes commands again gets them soon. */
        val LONGEST_RETRY = 2.seconds

        /** A leader that has neither listed a result nor refused it by then is asked again. */
        val ANSWER_PATIENCE = 5.seconds
    }
}
