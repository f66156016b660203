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

/** Takes parts of texts to the replicated log. */
internal fun interface TextLog {
    /** Proposes [parts]; [onReply] is called on the engine's thread. */
    fun propose(job: JobIdentifier, parts: List<TextPart>, onReply: (ServiceReply) -> Unit)
}

/**
 * Records the texts of long items as they grow, so that the next leader goes on after them. All functions run on the
 * engine's thread.
 *
 * What is recorded is read from the replicated state each time. A part that is lost is made again with the next one,
 * and a part that does not follow the recorded text is ignored by the state.
 */
internal class TextRecorder(
    private val machine: ServiceStateMachine,
    private val log: TextLog,
    private val metrics: GatewayMetrics,
) {
    private var nextRound: Moment? = null

    /** Jobs of which parts are on their way; each has one command at a time. */
    private val pending = HashMap<JobIdentifier, Moment>()

    /** Records what is due at [now] of the [texts] with a number of events at least. */
    fun tick(now: Moment, texts: (Int) -> Map<ItemKey, ItemText>) {
        if (nextRound?.let { now < it } == true) return
        nextRound = now + ROUND_INTERVAL
        pending.values.removeIf { now - it >= ANSWER_PATIENCE }
        texts(LEAST_EVENTS).entries.groupBy({ JobIdentifier(it.key.job) }, { it.key.item to it.value })
            .filterKeys { it !in pending }
            .forEach { (job, items) -> record(job, items, now) }
    }

    /** Forgets what is on its way, because another leader makes the texts now. */
    fun clear() {
        pending.clear()
        nextRound = null
    }

    private fun record(job: JobIdentifier, items: List<Pair<RequestIdentifier, ItemText>>, now: Moment) {
        val record = machine.job(job)?.takeUnless { it.isEnded } ?: return
        val parts = bounded(items.asSequence().mapNotNull { (item, text) -> part(record, item, text) })
        if (parts.isEmpty()) return
        pending[job] = now
        log.propose(job, parts) { reply ->
            metrics.onEvent("text", reply::class.simpleName.orEmpty())
            pending.remove(job, now)
        }
    }

    /** Returns the first of [parts] that one command holds; the others are made in a later round. */
    private fun bounded(parts: Sequence<TextPart>): List<TextPart> = buildList {
        var events = 0L
        for (part in parts) {
            add(part)
            events += part.lastNumber - (part.after ?: 0)
            if (events >= MOST_EVENTS) break
        }
    }

    /** Returns the events of [text] that are not recorded, or null if they are too few for a command. */
    private fun part(record: JobRecord, item: RequestIdentifier, text: ItemText): TextPart? {
        val identifier = text.identifier ?: return null
        val last = text.lastNumber ?: return null
        val after = record.text(item)?.takeIf { it.identifier == identifier }?.lastNumber
        val fresh = if (after == null) text.events.size else (last - after).toInt()
        if (fresh !in LEAST_EVENTS..text.events.size) return null
        return TextPart(item, identifier, after, last, text.events.takeLast(fresh), text.versions)
    }

    private companion object {
        val ROUND_INTERVAL = 250.milliseconds

        /** Events of one item in a command. Shorter items cost less to run again than to record. */
        const val LEAST_EVENTS = 20

        /** Events of all items in a command. */
        const val MOST_EVENTS = 2_000

        /** A command without an answer is made again after this time. */
        val ANSWER_PATIENCE = 5_000.milliseconds
    }
}
