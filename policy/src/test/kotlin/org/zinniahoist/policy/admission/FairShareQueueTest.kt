package org.zinniahoist.policy.admission

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.TrainerName
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.get
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNull
import strikt.assertions.map
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FairShareQueueTest {
    private val queue = FairShareQueue()
    private val start = Moment.ZERO
    private val free = Slots(running = 0, limit = 10)
    private var count = 0

    private fun attempt(origin: Origin, time: Duration = 1.seconds, budget: Duration = 10_000.seconds) =
        QueuedAttempt(AttemptIdentifier("${count++}"), origin, time, start + budget)

    private fun training(
        trainer: String,
        weight: Int = 1,
        group: String = "g",
        remaining: Int = 8,
    ) = Origin.Training(TrainerName(trainer), weight, group, remaining)

    private fun offer(vararg origins: Origin) = origins.forEach { queue.offer(attempt(it), start) }

    private fun starts(number: Int): List<QueuedAttempt> = List(number) { queue.poll(free, start) }.filterNotNull()

    @Nested
    inner class LiveCallers {
        /** Guards against a live attempt that is queued behind the training attempts of a trainer. */
        @Test
        fun `start before trainers and use the slots that are reserved for them`() {
            offer(training("a"), training("a"), Origin.Live)

            expectThat(queue.poll(Slots(9, limit = 10, trainingLimit = 9), start)?.origin).isEqualTo(Origin.Live)
            expectThat(queue.poll(Slots(9, limit = 10, trainingLimit = 9), start)).isNull()
        }

        /** Guards against starvation of trainers while live callers use every slot. */
        @Test
        fun `let one training attempt start after every seven live attempts`() {
            offer(training("a"), training("a"), *Array(20) { Origin.Live })

            val order = List(16) { queue.poll(Slots(9, limit = 10, trainingLimit = 5), start)?.origin }
            expectThat(order.indices.filter { order[it] != Origin.Live }).containsExactly(7, 15)
        }
    }

    @Nested
    inner class Trainers {
        /** Guards against a trainer with many attempts that exceeds its fair share at the expense of another. */
        @Test
        fun `share engine time by weight`() {
            repeat(60) { offer(training("a", weight = 2)) }
            repeat(60) { offer(training("b", weight = 1)) }

            val first = starts(30).map { (it.origin as Origin.Training).trainer.value }
            expectThat(first.count { it == "a" }).isIn(19..21)
        }

        /** Guards against sharing by expected time while some attempts use far more engine time than expected. */
        @Test
        fun `are charged for the engine time that they used`() {
            repeat(40) { offer(training("a"), training("b")) }
            starts(2).forEach {
                val slow = (it.origin as Origin.Training).trainer.value == "a"
                queue.onEnd(it, if (slow) 11.seconds else 1.seconds, start)
            }

            expectThat(starts(10).map { (it.origin as Origin.Training).trainer.value }.toSet()).isEqualTo(setOf("b"))
        }

        /** Guards against many partially completed groups, none of which completes. */
        @Test
        fun `finish groups near completion before they start new ones`() {
            offer(training("a", group = "1"), training("a", group = "2", remaining = 8))
            starts(1)
            offer(training("a", group = "3", remaining = 1), training("a", group = "1", remaining = 2))

            expectThat(starts(3)).map { (it.origin as Origin.Training).group }.containsExactly("1", "3", "2")
        }

        /** Guards against starvation of a group by newer groups that are closer to completion. */
        @Test
        fun `start their oldest attempt after seven others`() {
            offer(training("a", group = "old", remaining = 100))
            repeat(20) { offer(training("a", group = "$it", remaining = 1)) }

            expectThat(starts(8).map { (it.origin as Origin.Training).group }.last()).isEqualTo("old")
        }
    }

    @Nested
    inner class Refusals {
        /** Guards against queueing an attempt that can't meet its deadline, and against a wrong retry delay. */
        @Test
        fun `are immediate and state the time after which a retry is accepted`() {
            queue.poll(Slots(4, limit = 4), start)
            repeat(40) { queue.offer(attempt(Origin.Live), start) }

            val refused = queue.offer(attempt(Origin.Live, budget = 6.seconds), start)
            expectThat(refused).isA<OfferResult.Refused>().and {
                get { reason }.isEqualTo(RefusalReason.OVERLOADED)
                get { retryAfter }.isEqualTo(5.seconds)
            }
            repeat(20) { queue.poll(Slots(3, limit = 4), start) }
            expectThat(queue.offer(attempt(Origin.Live, budget = 6.seconds), start)).isEqualTo(OfferResult.Queued)
        }

        /** Guards against starting an attempt after its deadline. */
        @Test
        fun `expire attempts that are still queued at their deadline`() {
            val late = attempt(training("a"), budget = 2.seconds)
            queue.offer(late, start)
            offer(training("a"))

            expectThat(queue.expire(start + 1_999.milliseconds)).isEqualTo(emptyList())
            queue.poll(free, start + 2.seconds)
            expectThat(queue.expire(start + 2.seconds)).containsExactly(late)
            expectThat(queue.size).isEqualTo(0)
        }
    }
}
