package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.upstream.RunObserver
import org.zinniahoist.gateway.upstream.StreamEvent
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DispatchAction
import org.zinniahoist.policy.dispatch.ItemDispatcher
import org.zinniahoist.policy.dispatch.RunEnd

/**
 * Forwards the events of one [run] to [dispatcher] on the engine thread.
 *
 * @param execute executes the actions that the dispatcher returns.
 * @param onEnd called on the engine thread when the run ends.
 */
internal class EngineThreadRunObserver(
    private val run: Long,
    private val dispatcher: ItemDispatcher,
    private val post: (TaskKind, () -> Unit) -> Unit,
    private val clock: () -> Moment,
    private val execute: (List<DispatchAction>) -> Unit,
    private val onEnd: (Long, RunEnd) -> Unit,
) : RunObserver {
    override fun onSent() = post(TaskKind.RUN_SENT) { dispatcher.onSent(run, clock()) }

    override fun onBegin(version: WeightVersion?) = post(TaskKind.RUN_BEGIN) {
        execute(dispatcher.onBegin(run, version, clock()))
    }

    override fun onEvents(events: List<StreamEvent>, whenProcessed: () -> Unit) {
        val arrivedAt = clock()
        post(TaskKind.RUN_EVENTS) {
            try {
                events.forEach { onEvent(it, arrivedAt) }
            } finally {
                whenProcessed()
            }
        }
    }

    private fun onEvent(event: StreamEvent, arrivedAt: Moment) =
        execute(dispatcher.onEvent(run, event.number, event.data, event.version, clock(), arrivedAt))

    override fun onEnd(end: RunEnd) = post(TaskKind.RUN_END) {
        log(end)
        onEnd(run, end)
    }

    override fun whenProcessed(action: () -> Unit) = post(TaskKind.RUN_TAKEN, action)

    private fun log(end: RunEnd) = when (end) {
        is RunEnd.Broken -> logger.info { "event=run-broken run=$run reason=\"${end.reason}\"" }
        is RunEnd.NotRun -> logger.info { "event=run-refused run=$run reason=\"no place\"" }
        is RunEnd.Misdirected -> logger.info { "event=run-refused run=$run reason=\"another upstream\"" }
        is RunEnd.Completed, is RunEnd.Failed, is RunEnd.Impossible, is RunEnd.NotSent -> Unit
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
