package org.zinniahoist.gateway.core

import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.ItemText
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.RecordedText
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.state.service.TextPart
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Records the complete texts of items that need a score in the log, so that the next leader repeats only the reward
 * call. All functions run on the engine thread.
 *
 * Each job has at most one command in flight; the texts that complete in the meantime share the next one.
 *
 * @param onRecorded called once the whole text of an item is in the replicated state.
 */
internal class CompleteTextRecorder(
    private val machine: ServiceStateMachine,
    private val log: TextLog,
    private val metrics: GatewayMetrics,
    private val clock: () -> Moment,
    private val onRecorded: (ItemKey) -> Unit,
) {
    private val texts = LinkedHashMap<ItemKey, ItemText>()

    /** Time at which the next command of a job may be proposed. */
    private val nextProposals = HashMap<String, Moment>()

    /** Records [text], the complete text of the item with [key]. */
    fun record(key: ItemKey, text: ItemText) {
        texts[key] = text
        if (key.job !in nextProposals) propose(key.job)
    }

    /** Proposes the commands again that failed or have no reply. */
    fun tick() {
        val now = clock()
        nextProposals.filterValues { now >= it }.keys.forEach(::propose)
    }

    /** Discards the texts of [job], which has ended. */
    fun forget(job: String) {
        texts.keys.removeIf { it.job == job }
        nextProposals.remove(job)
    }

    /** Discards all texts, because another leader generates them now. */
    fun clear() {
        texts.clear()
        nextProposals.clear()
    }

    private fun propose(job: String) {
        val unrecorded = texts.entries.filter { it.key.job == job }.take(MAXIMUM_TEXTS)
        val parts = unrecorded.map { (key, text) -> part(key, text) }
        if (parts.isEmpty()) {
            nextProposals.remove(job)
            return
        }
        val expiry = clock() + REPLY_TIMEOUT
        nextProposals[job] = expiry
        log.propose(JobIdentifier(job), parts) { reply ->
            metrics.onEvent("complete_text", reply::class.simpleName.orEmpty())
            onReply(job, expiry)
        }
    }

    /** Confirms the texts that are in the replicated state, whatever the reply: a lost command may be applied. */
    private fun onReply(job: String, expiry: Moment) {
        val recorded = texts.filter { (key, text) -> key.job == job && isRecorded(key, text) }.keys.toList()
        recorded.forEach(texts::remove)
        // A later command of the job is in flight if this reply arrived after its timeout.
        if (nextProposals[job] == expiry) {
            if (recorded.isEmpty()) nextProposals[job] = clock() + RETRY_DELAY else propose(job)
        }
        recorded.forEach(onRecorded)
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

    private companion object {
        /** A command that failed is proposed again after this time. */
        val RETRY_DELAY = 100.milliseconds

        /** A command without a reply is proposed again after this time. */
        val REPLY_TIMEOUT = 5.seconds

        /** Number of texts at which a command is full. */
        const val MAXIMUM_TEXTS = 100
    }
}
