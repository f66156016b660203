package org.zinniahoist.policy.admission

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Baseline queue: first in, first out, with a fixed capacity. */
public class ArrivalOrderQueue(private val capacity: Int = 4_096) : AdmissionQueue {
    private val waiting = LinkedHashMap<AttemptIdentifier, QueuedAttempt>()

    override val size: Int get() = waiting.size

    override fun offer(attempt: QueuedAttempt, now: Moment): OfferResult {
        if (waiting.size >= capacity) return OfferResult.Refused(RefusalReason.OVERLOADED, RETRY_AFTER)
        waiting[attempt.identifier] = attempt
        return OfferResult.Queued
    }

    override fun poll(slots: Slots, now: Moment): QueuedAttempt? {
        if (slots.running >= slots.limit || waiting.isEmpty()) return null
        val first = waiting.values.first()
        waiting.remove(first.identifier)
        return first
    }

    override fun expire(now: Moment): List<QueuedAttempt> {
        val expired = waiting.values.filter { it.deadline <= now }
        expired.forEach { waiting.remove(it.identifier) }
        return expired
    }

    override fun cancel(attempt: AttemptIdentifier): Boolean = waiting.remove(attempt) != null

    override fun onEnd(attempt: QueuedAttempt, engineTime: Duration, now: Moment): Unit = Unit

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
