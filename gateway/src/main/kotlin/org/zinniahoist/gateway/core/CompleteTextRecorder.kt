package org.zinniahoist.gateway.core

import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.ItemText
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.RecordedText
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.state.service.TextPart

/**
 * Records the complete texts of items that need a score in the log, so that the next leader repeats only the reward
 * call. All functions run on the engine thread.
 *
 * @param onRecorded called once the whole text of an item is in the replicated state.
 */
internal class CompleteTextRecorder(
    private val machine: ServiceStateMachine,
    private val log: TextLog,
    private val metrics: GatewayMetrics,
    clock: () -> Moment,
    onRecorded: (ItemKey) -> Unit,
) {
    private val recorder = JobCommandRecorder(clock, ::propose, ::isRecorded, onRecorded)

    /** Records [text], the complete text of the item with [key]. */
    fun record(key: ItemKey, text: ItemText): Unit = recorder.record(key, text)

    /** Proposes the commands again that failed or have no reply. */
    fun tick(): Unit = recorder.tick()

    /** Discards the texts of [job], which has ended. */
    fun forget(job: String): Unit = recorder.forget(job)

    /** Discards all texts, because another leader generates them now. */
    fun clear(): Unit = recorder.clear()

    private fun propose(job: JobIdentifier, texts: Map<ItemKey, ItemText>, onReply: () -> Unit) {
        log.propose(job, texts.map { (key, text) -> part(key, text) }) { reply ->
            metrics.onEvent("complete_text", reply::class.simpleName.orEmpty())
            onReply()
        }
    }

    private fun isRecorded(key: ItemKey, text: ItemText): Boolean {
        val recorded = recordedText(key) ?: return false
        return recorded.isComplete && recorded.identifier == text.identifier
    }

    private fun recordedText(key: ItemKey): RecordedText? = machine.job(JobIdentifier(key.job))?.text(key.item)

    /** Returns the part that completes the recorded text, or the whole text if another text or none is recorded. */
    private fun part(key: ItemKey, text: ItemText): TextPart {
        val identifier = checkNotNull(text.identifier) { "the text of ${key.item} has no identifier" }
        val last = checkNotNull(text.lastNumber) { "the text of ${key.item} has no events" }
        val recorded = recordedText(key)?.takeIf { it.identifier == identifier }
        val unrecorded = recorded?.let { (last - it.lastNumber).toInt() }
        if (unrecorded == null || unrecorded !in 0..text.events.size) {
            return TextPart(key.item, identifier, null, last, text.events, text.versions, isLast = true)
        }
        val events = text.events.takeLast(unrecorded)
        return TextPart(key.item, identifier, recorded.lastNumber, last, events, text.versions, isLast = true)
    }
}
