package org.zinniahoist.policy.admission

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.Moment
import org.zinniahoist.model.TrainerName
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

/** Checks the queue against a reference model: a plain list in arrival order. */
class FairShareQueuePropertyTest {
    /** Guards against lost, duplicated, misordered or starved attempts after any sequence of operations. */
    @Property(tries = 300, seed = "20261204")
    fun startsOnlyAttemptsThatTheModelAllows(@ForAll("operations") operations: List<Int>) {
        val queue = FairShareQueue()
        val model = QueueModel()
        var now = Moment.ZERO
        val started = ArrayList<QueuedAttempt>()
        operations.forEachIndexed { index, operation ->
            val argument = operation / OPERATION_KINDS
            when (operation % OPERATION_KINDS) {
                0, 1, 2 -> {
                    val attempt = attempt(index, argument, now)
                    if (queue.offer(attempt, now) == OfferResult.Queued) model.offer(attempt)
                }
                3, 4 -> {
                    val slots = Slots(running = argument % 4, limit = 4, trainingLimit = 3)
                    val next = queue.poll(slots, now)
                    model.check(next, slots)
                    next?.let(started::add)
                }
                5 -> now += (argument % 3).seconds
                6 -> model.waiting.getOrNull(argument)?.let {
                    expectThat(queue.cancel(it.identifier)).isTrue()
                    model.waiting.remove(it)
                }
                else -> started.removeFirstOrNull()?.let { queue.onEnd(it, (argument % 7).seconds, now) }
            }
            expectThat(queue.expire(now).toSet()).isEqualTo(model.waiting.filter { it.deadline <= now }.toSet())
            model.waiting.removeIf { it.deadline <= now }
            expectThat(queue.size).isEqualTo(model.waiting.size)
        }
    }

    @Provide
    fun operations(): Arbitrary<List<Int>> =
        Arbitraries.integers().between(0, 2_000).list().ofMinSize(100).ofMaxSize(250)

    private fun attempt(index: Int, argument: Int, now: Moment): QueuedAttempt {
        val trainer = (argument % 12 - 8).coerceAtLeast(0)
        val group = "${argument / 12 % 3}"
        val origin = if (trainer == 0) {
            Origin.Live
        } else {
            Origin.Training(TrainerName("t$trainer"), weight = trainer, group, remainingInGroup = 1 + argument / 36 % 5)
        }
        val budget = if (argument % 5 == 0) 6 else 1_000
        return QueuedAttempt(AttemptIdentifier("$index"), origin, (1 + argument % 3).seconds, now + budget.seconds)
    }

    private class QueueModel {
        val waiting = ArrayList<QueuedAttempt>()
        private val remainingOvertakes = HashMap<AttemptIdentifier, Int>()
        private var liveStarts = 0

        fun offer(attempt: QueuedAttempt) {
            remainingOvertakes[attempt.identifier] = 8 * (1 + waiting.count { trainerOf(it) == trainerOf(attempt) })
            waiting.add(attempt)
        }

        fun check(next: QueuedAttempt?, slots: Slots) {
            val live = waiting.firstOrNull { it.origin == Origin.Live }
            val trainingQueued = waiting.any { it.origin != Origin.Live }
            val trainingDue = trainingQueued && liveStarts >= 7
            val expectsTraining = trainingQueued && (trainingDue || live == null && slots.running < slots.trainingLimit)
            when {
                slots.running >= slots.limit -> expectThat(next).isNull()
                expectsTraining -> checkTraining(next)
                else -> expectThat(next).isEqualTo(live)
            }
            if (next == null) return
            waiting.remove(next)
            liveStarts = if (next.origin == Origin.Live && trainingQueued) liveStarts + 1 else 0
        }

        private fun checkTraining(next: QueuedAttempt?) {
            val queuedOfTrainer = waiting.filter { trainerOf(it) == next?.let(::trainerOf) }
            val firstOfGroup = queuedOfTrainer.first { groupOf(it) == next?.let(::groupOf) }
            expectThat(listOf(firstOfGroup, queuedOfTrainer.first())).contains(next)
            queuedOfTrainer.forEach {
                expectThat(remainingOvertakes.merge(it.identifier, -1, Int::plus)!!).isGreaterThanOrEqualTo(0)
            }
        }

        private fun trainerOf(attempt: QueuedAttempt) = (attempt.origin as? Origin.Training)?.trainer

        private fun groupOf(attempt: QueuedAttempt) = (attempt.origin as? Origin.Training)?.group
    }

    private companion object {
        const val OPERATION_KINDS = 8
    }
}
