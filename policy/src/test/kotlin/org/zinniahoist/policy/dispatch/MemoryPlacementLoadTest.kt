package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.seconds

/** Compares both placements under the same loads and prints their figures. */
internal class MemoryPlacementLoadTest {
    private fun compare(pattern: String, plan: LoadPlan): Pair<LoadFigures, LoadFigures> {
        val (slots, memory) = PlacementKind.entries.map { kind ->
            LoadFigures.over(SEEDS) {
                EngineLoadSimulation(plan, DispatchOptions(placement = kind), it).run().figures()
            }
                .also { println("$pattern, $kind: $it") }
        }
        return slots to memory
    }

    /** Guards against items that stay on slow upstreams although others have free slots. */
    @Test
    fun `one upstream in seven is slow`() {
        for (trainers in 1..2) {
            val (slots, memory) =
                compare("slow upstreams, $trainers trainers", LoadPlan(trainers, groups = 14, slowShare = 0.15))
            expectThat(memory.finish).isLessThan(slots.finish)
        }
    }

    /** Guards against the same with upstreams that are slow for seconds. */
    @Test
    fun `one upstream in seven is slow for seconds`() {
        val plan = LoadPlan(groups = 14, slowShare = 0.15, slowness = 4.0, slowTime = SECONDS_OF_SLOWNESS)
        val (slots, memory) = compare("upstreams that are slow for seconds", plan)
        expectThat(memory.finish).isLessThan(slots.finish)
    }

    /** Guards against short prompts that wait for a long one to be read although other upstreams read nothing. */
    @Test
    fun `one long prompt among many short ones`() {
        val (slots, memory) = compare("long prompts", LoadPlan(trainers = 3, longShare = 0.1))
        expectThat(memory.firstTokenOfShort).isLessThan(slots.firstTokenOfShort)
        expectThat(memory.finishOfLong).isLessThan(slots.finishOfLong)
    }

    /** Guards against upstreams that crash because their requests exceed the memory. */
    @Test
    fun `requests need more memory than the slots of an engine have`() {
        val plan = LoadPlan(
            trainers = 4,
            groups = 10,
            longShare = 0.2,
            longPrompt = 4_000..9_000,
            memory = 36_186,
            fault = MemoryFault.CRASH,
        )
        val (slots, memory) = compare("memory", plan)
        expectThat(slots.crashes).isGreaterThan(0)
        expectThat(memory.crashes).isEqualTo(0)
        expectThat(memory.groups).isGreaterThan(slots.groups)
    }

    private companion object {
        val SEEDS = 1..8
        val SECONDS_OF_SLOWNESS = 2.seconds
    }
}
