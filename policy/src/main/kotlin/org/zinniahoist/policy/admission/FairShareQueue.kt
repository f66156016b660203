package org.zinniahoist.policy.admission

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.TrainerName
import java.util.TreeMap
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Starts live attempts first, then attempts of the trainer with the least weighted engine time.
 *
 * Within a trainer, attempts of the groups that are closest to completion start first. [AdmissionSettings] bounds the
 * starvation that both rules cause. Each operation takes logarithmic time in the number of queued attempts.
 */
public class FairShareQueue(private val settings: AdmissionSettings = AdmissionSettings()) : AdmissionQueue {
    private val waitingAttempts = HashMap<AttemptIdentifier, WaitingAttempt>()
    private val live = TreeMap<Long, WaitingAttempt>()
    private val deadlines = TreeSet(compareBy<WaitingAttempt>({ it.attempt.deadline }, { it.sequence }))
    private val backlogs = HashMap<TrainerName, TrainerBacklog>()
    private val trainers = TreeSet(compareBy<TrainerBacklog>({ it.virtualTime }, { it.trainer.value }))
    private val expired = ArrayList<QueuedAttempt>()
    private val waitEstimator = WaitEstimator()
    private var activeWeight = 0
    private var virtualTime = 0L
    private var sequence = 0L
    private var liveStarts = 0

    override val size: Int get() = waitingAttempts.size

    override fun offer(attempt: QueuedAttempt, now: Moment): OfferResult {
        collectExpired(now)
        refusal(attempt, now)?.let { return it }
        val waiting = WaitingAttempt(attempt, sequence++)
        waitingAttempts[attempt.identifier] = waiting
        deadlines.add(waiting)
        when (val origin = attempt.origin) {
            Origin.Live -> live[waiting.sequence] = waiting
            is Origin.Training -> update(
                backlogs.getOrPut(origin.trainer) {
                    TrainerBacklog(origin.trainer, settings)
                },
            ) {
                // A trainer earns no credit for the time in which it had no queued attempts.
                if (isEmpty) virtualTime = maxOf(virtualTime, this@FairShareQueue.virtualTime)
                add(waiting, origin)
            }
        }
        waitEstimator.onQueued(attempt)
        return OfferResult.Queued
    }

    override fun poll(slots: Slots, now: Moment): QueuedAttempt? {
        collectExpired(now)
        waitEstimator.slots = slots
        if (slots.running >= slots.limit) return null
        val trainingDue = trainers.isNotEmpty() && liveStarts >= settings.consecutiveLiveStarts
        return when {
            live.isNotEmpty() && !trainingDue -> startLive()
            trainers.isNotEmpty() && (trainingDue || slots.acceptsTraining) -> startTraining()
            else -> null
        }
    }

    override fun expire(now: Moment): List<QueuedAttempt> {
        collectExpired(now)
        return expired.toList().also { expired.clear() }
    }

    override fun cancel(attempt: AttemptIdentifier): Boolean {
        val waiting = waitingAttempts[attempt] ?: return false
        remove(waiting)
        return true
    }

    override fun onEnd(attempt: QueuedAttempt, engineTime: Duration, now: Moment) {
        waitEstimator.onEnd(attempt, engineTime)
        val origin = attempt.origin as? Origin.Training ?: return
        val backlog = backlogs[origin.trainer] ?: return
        update(backlog) {
            onEnd(origin)
            virtualTime += (engineTime - attempt.expectedTime).inWholeNanoseconds / weight
        }
    }

    private fun startLive(): QueuedAttempt {
        val waiting = live.firstEntry().value
        remove(waiting)
        liveStarts = if (trainers.isEmpty()) 0 else liveStarts + 1
        return waiting.attempt
    }

    private fun startTraining(): QueuedAttempt {
        val backlog = trainers.first()
        virtualTime = maxOf(virtualTime, backlog.virtualTime)
        liveStarts = 0
        lateinit var startedAttempt: WaitingAttempt
        update(backlog) {
            startedAttempt = next()
            virtualTime += startedAttempt.attempt.expectedTime.inWholeNanoseconds / weight
        }
        removeFromIndexes(startedAttempt)
        return startedAttempt.attempt
    }

    private fun remove(waiting: WaitingAttempt) {
        when (val origin = waiting.attempt.origin) {
            Origin.Live -> live.remove(waiting.sequence)
            is Origin.Training -> update(backlogs.getValue(origin.trainer)) { remove(waiting) }
        }
        removeFromIndexes(waiting)
    }

    private fun removeFromIndexes(waiting: WaitingAttempt) {
        waitingAttempts.remove(waiting.identifier)
        deadlines.remove(waiting)
        waitEstimator.onRemoved(waiting.attempt)
    }

    private fun collectExpired(now: Moment) {
        while (deadlines.isNotEmpty() && deadlines.first().attempt.deadline <= now) {
            val waiting = deadlines.first()
            remove(waiting)
            expired.add(waiting.attempt)
        }
    }

    /** Removes the backlog from the sorted set of trainers while its sort key changes. */
    private fun update(backlog: TrainerBacklog, update: TrainerBacklog.() -> Unit) {
        if (trainers.remove(backlog)) activeWeight -= backlog.weight
        backlog.update()
        if (!backlog.isEmpty) {
            trainers.add(backlog)
            activeWeight += backlog.weight
        }
    }

    private fun refusal(attempt: QueuedAttempt, now: Moment): OfferResult.Refused? {
        val wait = expectedWait(attempt.origin)
        val atCapacity = when (attempt.origin) {
            Origin.Live -> live.size >= settings.liveCapacity
            is Origin.Training -> waitingAttempts.size - live.size >= settings.trainingCapacity
        }
        val slack = attempt.deadline - now - attempt.expectedTime
        return when {
            attempt.deadline <= now -> OfferResult.Refused(RefusalReason.DEADLINE_EXCEEDED, Duration.ZERO)
            atCapacity -> OfferResult.Refused(RefusalReason.OVERLOADED, maxOf(wait, MINIMUM_RETRY_AFTER))
            wait > Duration.ZERO && wait > slack ->
                OfferResult.Refused(
                    RefusalReason.OVERLOADED,
                    maxOf(wait - slack.coerceAtLeast(Duration.ZERO), MINIMUM_RETRY_AFTER),
                )
            else -> null
        }
    }

    private fun expectedWait(origin: Origin): Duration = when (origin) {
        Origin.Live -> waitEstimator.forLive()
        is Origin.Training -> {
            val backlog = backlogs[origin.trainer]
            val workAhead = backlog?.expectedTime ?: Duration.ZERO
            val otherWeights = activeWeight - if (backlog == null || backlog.isEmpty) 0 else backlog.weight
            waitEstimator.forTraining(workAhead * (1.0 + otherWeights.toDouble() / origin.weight.coerceAtLeast(1)))
        }
    }

    private companion object {
        val MINIMUM_RETRY_AFTER = 100.milliseconds
    }
}
