package org.zinniahoist.gateway.core

import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.state.service.ItemFailures
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.wire.ServiceReply

/** Proposes failed runs of items to the replicated log. */
internal fun interface FailureLog {
    /** Proposes [failures]; calls [onReply] on the engine thread. */
    fun propose(job: JobIdentifier, failures: List<ItemFailures>, onReply: (ServiceReply) -> Unit)
}

/**
 * Records failed runs of items in the log, so that their limit also holds after a change of the leader or of the route.
 * An item must not run again before its failure is recorded. All functions run on the engine thread.
 *
 * @param onRecorded called once the failures of an item are in the replicated state.
 */
internal class FailureRecorder(
    private val machine: ServiceStateMachine,
    private val log: FailureLog,
    private val metrics: GatewayMetrics,
    clock: () -> Moment,
    onRecorded: (ItemKey) -> Unit,
) {
    private val recorder = JobCommandRecorder(clock, ::propose, ::isRecorded, onRecorded)

    /** Returns true while the failures of the item with [key] are not known to be recorded. */
    operator fun contains(key: ItemKey): Boolean = key in recorder

    /** Records that the item with [key] has had [runs] failed runs. */
    fun onFailedRun(key: ItemKey, runs: Int): Unit = recorder.record(key, ItemFailures(key.item, runs = runs))

    /** Records that the item with [key] has had [rewardCalls] failed reward calls. */
    fun onFailedRewardCall(key: ItemKey, rewardCalls: Int): Unit =
        recorder.record(key, ItemFailures(key.item, rewardCalls = rewardCalls))

    /** Proposes the commands again that failed or have no reply. */
    fun tick(): Unit = recorder.tick()

    /** Discards the failures of [job], which has ended. */
    fun forget(job: JobIdentifier): Unit = recorder.forget(job.value)

    /** Discards all failures, because another leader runs the items now. */
    fun clear(): Unit = recorder.clear()

    private fun propose(job: JobIdentifier, failures: Map<ItemKey, ItemFailures>, onReply: () -> Unit) {
        log.propose(job, failures.values.toList()) { reply ->
            metrics.onEvent("failure", reply::class.simpleName.orEmpty())
            onReply()
        }
    }

    private fun isRecorded(key: ItemKey, failures: ItemFailures): Boolean =
        machine.job(JobIdentifier(key.job))?.failures(key.item)?.includes(failures) == true
}
