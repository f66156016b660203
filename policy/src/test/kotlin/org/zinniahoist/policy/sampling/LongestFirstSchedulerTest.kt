package org.zinniahoist.policy.sampling

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Moment
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.StepNumber
import org.zinniahoist.model.TrainerName
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration.Companion.seconds

internal fun samples(step: Long, groups: Int, size: Int): List<PlannedSample> = List(groups * size) {
    val identifier = SampleIdentifier(TrainerName("t"), StepNumber(step), it / size, it % size)
    PlannedSample(identifier, maximumTokens = 4_096)
}

class LongestFirstSchedulerTest {
    private val scheduler = LongestFirstScheduler(settings = SchedulerSettings(hedging = true))
    private val busy = SlotSupply(free = 1, idle = 0, idleTokenRate = 50.0)
    private val idle = SlotSupply(free = 4, idle = 4, idleTokenRate = 50.0)
    private val start = Moment.ZERO

    private fun finishStep(step: Long, now: Moment, tokens: (Int) -> Int) {
        scheduler.add(samples(step, groups = 8, size = 4), now)
        generateSequence { scheduler.next(busy, now) }.toList().forEach {
            scheduler.onFinished(it.identifier, it.attempt, tokens(it.identifier.group), now)
        }
    }

    @Nested
    inner class Order {
        /** Guards against a long sample that starts last and delays the whole step. */
        @Test
        fun `prefers groups that may be long over groups that are known to be short`() {
            finishStep(1, start) { 200 + 10 * it }
            scheduler.add(samples(2, groups = 3, size = 6), start)
            val groups = List(8) {
                val next = scheduler.next(busy, start)!!
                val group = next.identifier.group
                scheduler.onFinished(next.identifier, 1, if (group == 1) 3_000 else 50, start)
                group
            }

            expectThat(groups).containsExactly(0, 1, 2, 1, 1, 1, 1, 1)
        }

        /** Guards against queueing the last samples of a step on the engine that has their prompt cached. */
        @Test
        fun `distributes the last samples over idle slots`() {
            scheduler.add(samples(1, groups = 1, size = 6), start)

            expectThat(List(6) { scheduler.next(idle, start)!!.spread })
                .containsExactly(false, false, true, true, true, true)
        }

        /** Guards against losing a sample when its engine fails. */
        @Test
        fun `restarts a failed sample before others`() {
            scheduler.add(samples(1, groups = 2, size = 2), start)
            val failed = scheduler.next(busy, start)!!
            scheduler.onFailed(failed.identifier, 1, 10, start)

            val restarted = scheduler.next(busy, start)!!
            expectThat(restarted.identifier).isEqualTo(failed.identifier)
            expectThat(restarted.attempt).isEqualTo(2)
            expectThat(scheduler.onFinished(failed.identifier, 1, 10, start)).isEqualTo(emptyList())
            expectThat(scheduler.remaining).isEqualTo(4)
        }
    }

    @Nested
    inner class Hedging {
        private val later = start + 60.seconds

        private fun straggler(): StartSample {
            repeat(2) { finishStep(it.toLong(), start) { 500 } }
            scheduler.add(samples(2, groups = 1, size = 1), start)
            val straggler = scheduler.next(idle, start)!!
            scheduler.onProgress(straggler.identifier, 1, 60, later)
            return straggler
        }

        /** Guards against a step that waits for one slow or unresponsive engine while others are idle. */
        @Test
        fun `starts a second attempt of a slow sample and cancels the loser`() {
            val straggler = straggler()
            val second = scheduler.next(idle, later)

            expectThat(second).isNotNull().get { listOf(identifier, attempt, hedge) }
                .isEqualTo(listOf(straggler.identifier, 2, true))
            expectThat(scheduler.next(idle, later + 1.seconds)).isNull()
            expectThat(scheduler.onFinished(straggler.identifier, 2, 500, later + 10.seconds))
                .containsExactly(CancelSample(straggler.identifier, 1))
        }

        /** Guards against hedges that use slots for which other work is queued. */
        @Test
        fun `needs idle slots`() {
            straggler()

            expectThat(scheduler.next(busy, later)).isNull()
        }

        /** Guards against hedging samples that are long but make normal progress. */
        @Test
        fun `does not hedge samples that are as fast as a new attempt`() {
            val steady = straggler()
            scheduler.onProgress(steady.identifier, 1, 2_900, later)

            expectThat(scheduler.next(idle, later)).isNull()
        }

        /** Guards against discarding more than three percent of the tokens. */
        @Test
        fun `stops at the budget of discarded tokens`() {
            repeat(2) { finishStep(it.toLong(), start) { 500 } }
            scheduler.add(samples(2, groups = 1, size = 20), start)
            repeat(20) { scheduler.onProgress(scheduler.next(busy, start)!!.identifier, 1, 60, later) }

            val hedges = generateSequence { scheduler.next(idle, later) }.count()
            expectThat(hedges).isEqualTo(1)
        }
    }

    @Nested
    inner class Lengths {
        private val estimator = LogNormalLengthEstimator()

        /** Guards against estimates that ignore the group, and against overconfidence after a few samples. */
        @Test
        fun `are estimated per group with their uncertainty`() {
            val random = Random(3).asJavaRandom()
            for (group in 0 until 200) {
                val centre = 5 + random.nextGaussian()
                repeat(8) { estimator.observe(GroupKey(1, group), exp(centre + 0.2 * random.nextGaussian()).toInt()) }
            }
            repeat(6) { estimator.observe(GroupKey(2, 0), 1_000) }
            val unknown = estimator.estimate(GroupKey(2, 1), 0, 10_000)
            val known = estimator.estimate(GroupKey(2, 0), 0, 10_000)

            expectThat(known.expected).isIn(500.0..1_100.0)
            expectThat(known.upper / known.expected).isLessThan(unknown.upper / unknown.expected)
        }

        /** Guards against a straggler that is always expected to complete soon. */
        @Test
        fun `grow with the tokens that a sample has already generated`() {
            val random = Random(4).asJavaRandom()
            repeat(500) { estimator.observe(GroupKey(1, it), exp(5 + random.nextGaussian()).toInt()) }
            val remaining = listOf(100, 1_000, 2_000)
                .map { estimator.estimate(GroupKey(2, 0), it, 100_000).expected - it }

            expectThat(remaining[1]).isGreaterThan(remaining[0])
            expectThat(remaining[2]).isGreaterThan(remaining[1])
        }
    }
}
