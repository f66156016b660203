package org.zinniahoist.policy.sampling

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.zinniahoist.model.Moment
import org.zinniahoist.model.SampleIdentifier
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

/** Checks schedulers against a reference model: plain collections of waiting samples and running attempts. */
class SampleSchedulerPropertyTest {
    /** Guards against lost or duplicated samples and invalid hedges after any sequence of operations. */
    @Property(tries = 200, seed = "20261204")
    fun startsEachSampleOnceAndHedgesOnIdleSlots(@ForAll("operations") operations: List<Int>) =
        check(LongestFirstScheduler(settings = SchedulerSettings(hedging = true, discardedShare = 0.5)), operations)

    @Property(tries = 50, seed = "20261204")
    fun holdsForTheBaseline(@ForAll("operations") operations: List<Int>) = check(ArrivalOrderScheduler(), operations)

    private fun check(scheduler: SampleScheduler, operations: List<Int>) {
        val waiting = HashSet<SampleIdentifier>()
        val running = ArrayList<StartSample>()
        operations.forEachIndexed { index, operation ->
            val now = Moment.ZERO + index.seconds
            val argument = operation / OPERATION_KINDS
            val attempt = running.getOrNull(argument % (running.size + 1))
            when (operation % OPERATION_KINDS) {
                0 -> samples(index.toLong(), groups = 2, size = 1 + argument % 4).let { planned ->
                    scheduler.add(planned, now)
                    waiting.addAll(planned.map { it.identifier })
                }
                1, 2, 3 -> {
                    val supply = SlotSupply(free = argument % 4, idle = argument % 3, idleTokenRate = 50.0)
                    scheduler.next(supply, now)?.let { start ->
                        checkStart(start, supply, waiting, running)
                        running.add(start)
                    }
                }
                4 -> attempt?.let { scheduler.onProgress(it.identifier, it.attempt, argument % 100, now) }
                5 -> attempt?.let {
                    scheduler.onFailed(it.identifier, it.attempt, argument % 100, now)
                    running.remove(it)
                    if (running.none { other -> other.identifier == it.identifier }) waiting.add(it.identifier)
                }
                else -> attempt?.let { winner ->
                    val cancelled = scheduler.onFinished(winner.identifier, winner.attempt, 50 + argument % 1_000, now)
                    running.remove(winner)
                    val losers = running.filter { it.identifier == winner.identifier }
                    expectThat(cancelled).isEqualTo(losers.map { CancelSample(it.identifier, it.attempt) })
                    running.removeAll(losers)
                }
            }
            expectThat(scheduler.remaining).isEqualTo(waiting.size + running.distinctBy { it.identifier }.size)
        }
    }

    private fun checkStart(
        start: StartSample,
        supply: SlotSupply,
        waiting: MutableSet<SampleIdentifier>,
        running: List<StartSample>,
    ) {
        val others = running.filter { it.identifier == start.identifier }
        expectThat(supply.free).isGreaterThan(0)
        expectThat(others.map { it.attempt }).doesNotContain(start.attempt)
        if (start.hedge) {
            expectThat(supply.idle).isGreaterThan(0)
            expectThat(waiting.size).isEqualTo(0)
            expectThat(others.size).isEqualTo(1)
        } else {
            expectThat(waiting).contains(start.identifier)
            expectThat(others.size).isLessThanOrEqualTo(0)
            waiting.remove(start.identifier)
        }
    }

    @Provide
    fun operations(): Arbitrary<List<Int>> =
        Arbitraries.integers().between(0, 20_000).list().ofMinSize(50).ofMaxSize(200)

    private companion object {
        const val OPERATION_KINDS = 8
    }
}
