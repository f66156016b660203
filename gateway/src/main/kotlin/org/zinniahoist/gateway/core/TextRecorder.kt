package org.zinniahoist.gateway.core

import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.ItemText
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRecord
import org.zinniahoist.state.service.ServiceStateMachine
import org.zinniahoist.state.service.TextPart
import org.zinniahoist.wire.ServiceReply
import kotlin.time.Duration.Companion.milliseconds

/** Proposes parts of texts to the replicated log. */
internal fun interface TextLog {
    /** Proposes [parts]; calls [onReply] on the engine thread. */
    fun propose(job: JobIdentifier, parts: List<TextPart>, onReply: (ServiceReply) -> Unit)
}

/**
 * Records the partial texts of long items in the log, so that the next leader can resume them. All functions run on the
 * engine thread.
 *
 * Each recording starts from the text in the replicated state: a lost part is included in the next one, and the state
 * machine ignores a part that does not continue the recorded text.
 */
internal class TextRecorder(
    private val machine: ServiceStateMachine,
    private val log: TextLog,
    private val metrics: GatewayMetrics,
) {
    private var nextRecording: Moment? = null

    /** Jobs with a command in flight, with the time of its proposal; each job has at most one. */
    private val pending = HashMap<JobIdentifier, Moment>()

    /** Records new events if due at [now]. [texts] returns the texts that have at least the given number of events. */
    fun tick(now: Moment, texts: (Int) -> Map<ItemKey, ItemText>) {
        if (nextRecording?.let { now < it } == true) return
        nextRecording = now + RECORDING_INTERVAL
        pending.values.removeIf { now - it >= REPLY_TIMEOUT }
        texts(MINIMUM_EVENTS).entries.groupBy({ JobIdentifier(it.key.job) }, { it.key.item to it.value })
            .filterKeys { it !in pending }
            .forEach { (job, items) -> record(job, items, now) }
    }

    /** Discards the commands in flight, because another leader generates the texts now. */
    fun clear() {
        pending.clear()
        nextRecording = null
    }

    private fun record(job: JobIdentifier, items: List<Pair<RequestIdentifier, ItemText>>, now: Moment) {
        val record = machine.job(job)?.takeUnless { it.isEnded } ?: return
        val parts = firstCommand(items.asSequence().mapNotNull { (item, text) -> part(record, item, text) })
        if (parts.isEmpty()) return
        pending[job] = now
        log.propose(job, parts) { reply ->
            metrics.onEvent("text", reply::class.simpleName.orEmpty())
            pending.remove(job, now)
        }
    }

    /** Returns the first [parts] that fit into one command; the others are recorded in a later round. */
    private fun firstCommand(parts: Sequence<TextPart>): List<TextPart> = buildList {
        var events = 0L
        for (part in parts) {
            add(part)
            events += part.lastNumber - (part.after ?: 0)
            if (events >= MAXIMUM_EVENTS) break
        }
    }

    /** Returns the events of [text] that are not recorded yet, or null if they are too few to record. */
    private fun part(record: JobRecord, item: RequestIdentifier, text: ItemText): TextPart? {
        val identifier = text.identifier ?: return null
        val last = text.lastNumber ?: return null
        val after = record.text(item)?.takeIf { it.identifier == identifier }?.lastNumber
        val unrecorded = if (after == null) text.events.size else (last - after).toInt()
        if (unrecorded !in MINIMUM_EVENTS..text.events.size) return null
        return TextPart(item, identifier, after, last, text.events.takeLast(unrecorded), text.versions)
    }

    private companion object {
        val RECORDING_INTERVAL = 250.milliseconds

        /** Minimum number of new events of one item; re-running a shorter item costs less than recording it. */
        const val MINIMUM_EVENTS = 20

        /** Number of events at which a command is full. */
        const val MAXIMUM_EVENTS = 2_000

        /** A command without a reply is proposed again after this time. */
        val REPLY_TIMEOUT = 5_000.milliseconds
    }
}
