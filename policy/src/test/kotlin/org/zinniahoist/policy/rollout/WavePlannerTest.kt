package org.zinniahoist.policy.rollout

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Region
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WavePlannerTest {
    private val settings = RolloutSettings(storeTransfers = 2, fanOut = 3)
    private val planner = WavePlanner(settings)
    private val old = WeightVersion(1)
    private val new = WeightVersion(2)

    private fun engine(index: Int, domains: Int = 3) = EngineState(
        InstanceName("e$index"),
        FailureDomain("d${index % domains}", Region("r")),
        serving = old,
        held = setOf(old),
    )

    private fun state(
        engines: List<EngineState>,
        target: WeightVersion? = new,
        known: Set<WeightVersion> = setOf(old, new),
    ) = RolloutState(target, known, engines)

    /** Completes the actions in progress and starts the planned ones. A hop and a swap take one round each. */
    private fun round(engines: List<EngineState>): List<EngineState> {
        val settled = engines.map { engine ->
            engine.copy(
                held = engine.held + setOfNotNull(engine.fetch?.version),
                fetch = null,
                serving = engine.swapping ?: engine.serving,
                swapping = null,
            )
        }
        val actions = planner.plan(state(settled)).groupBy { it.instance }
        return settled.map { engine ->
            actions[engine.instance].orEmpty().fold(engine) { changed, action ->
                when (action) {
                    is RolloutAction.BeginFetch -> changed.copy(fetch = action.fetch)
                    is RolloutAction.StopFetch -> changed.copy(fetch = null)
                    is RolloutAction.Swap -> changed.copy(swapping = action.version)
                    is RolloutAction.TakeOut -> changed.copy(inRouting = false)
                    is RolloutAction.PutBack -> changed.copy(inRouting = true)
                }
            }
        }
    }

    private fun rounds(count: Int): List<List<EngineState>> = generateSequence(List(count) { engine(it) }) { round(it) }
        .takeWhile { engines -> engines.any { it.serving != new } }.toList()

    @Nested
    inner class Waves {
        /** Guards against a rollout that leaves live callers without a serving engine. */
        @Test
        fun `keep engines of each failure domain in routing`() {
            for (engines in rounds(24) + rounds(6)) {
                val serving = engines.filter { it.swapping == null }.groupBy { it.failureDomain }
                expectThat(serving.values.map { it.size }).all { isGreaterThanOrEqualTo(engines.size / 3 / 2) }
            }
            for (engines in rounds(2)) expectThat(engines.count { it.swapping == null }).isGreaterThan(0)
        }
    }

    @Nested
    inner class Transfers {
        /** Guards against exceeding the rate limit of the store and the fan-out of sidecars. */
        @Test
        fun `stay within the limits of the store and of each sidecar`() {
            for (engines in rounds(300)) {
                val sources = engines.mapNotNull { it.fetch }.groupingBy { it.source?.value }.eachCount()
                expectThat(sources[null] ?: 0).isLessThanOrEqualTo(2)
                expectThat(sources.filterKeys { it != null }.values).all { isLessThanOrEqualTo(3) }
            }
        }

        /** Guards against a plan that takes more hops than estimated. */
        @Test
        fun `reach all sidecars in the estimated number of hops`() {
            val hops = rounds(300).indexOfFirst { engines ->
                engines.all { new in it.held || it.fetch != null }
            }

            expectThat(hops).isLessThanOrEqualTo(rolloutHops(300, settings))
        }

        /** Guards against default settings that miss the rollout time required at the design size. */
        @Test
        fun `distribute new weights to ten thousand engines within 14 s`() {
            expectThat(rolloutHops(10_000)).isEqualTo(6)
            expectThat(rolloutTime(10_000, hop = 1_600.milliseconds, swap = 1.seconds))
                .isLessThanOrEqualTo(14.seconds)
        }
    }

    @Nested
    inner class Failures {
        /** Guards against routing to an engine whose swap failed halfway. */
        @Test
        fun `remove an engine without a version from routing until it serves a known one`() {
            val failed = engine(0).copy(serving = null, held = setOf(old, new))
            val others = List(5) { engine(it + 1).copy(serving = new, held = setOf(old, new)) }

            expectThat(planner.plan(state(others + failed))).containsExactly(
                RolloutAction.TakeOut(failed.instance),
                RolloutAction.Swap(failed.instance, new),
            )
            val recovered = failed.copy(serving = new, inRouting = false)
            expectThat(planner.plan(state(others + recovered))).containsExactly(RolloutAction.PutBack(failed.instance))
        }

        /** Guards against a withdrawn version that is still distributed, and against engines that keep serving it. */
        @Test
        fun `stop fetching a withdrawn version and swap its engines back to the target in waves`() {
            val fetching = engine(0).copy(fetch = Fetch(new, null))
            val swapped = List(4) { engine(it + 1, domains = 1).copy(serving = new, held = setOf(old, new)) }
            val actions = planner.plan(state(swapped + fetching, target = old, known = setOf(old)))

            expectThat(actions).containsExactly(
                RolloutAction.StopFetch(fetching.instance),
                RolloutAction.Swap(swapped[0].instance, old),
            )
            expectThat(planner.plan(state(listOf(engine(0)), target = null))).isEmpty()
        }
    }
}
