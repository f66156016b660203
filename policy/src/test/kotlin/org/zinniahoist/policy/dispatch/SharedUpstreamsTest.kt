package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates four trainers on 28 upstreams, whose work occupies a little over half of the slots. */
internal class SharedUpstreamsTest {
    private val plans = listOf(
        TrainerPlan(ModelName("few-large-groups"), groups = 6, groupSize = 16, meanEvents = 15.3),
        TrainerPlan(ModelName("long"), groups = 17, groupSize = 8, meanEvents = 16.9),
        TrainerPlan(ModelName("long-too"), groups = 17, groupSize = 8, meanEvents = 16.9),
        TrainerPlan(ModelName("short"), groups = 13, groupSize = 8, meanEvents = 12.3),
    )

    /** Simulates each seed and describes the models that earn less than [floor] of their worth. */
    private fun modelsBelow(floor: Double, faults: List<Fault>): List<String> = (1..SEEDS).flatMap { seed ->
        SharedUpstreamsSimulation(plans, seed, faults).simulate()
            .filterValues { it < floor }
            .map { (model, earned) -> "seed $seed: $model earns $earned" }
    }

    /**
     * Guards against a trainer that falls behind without any faults, because its model has too few upstreams or all of
     * them load new weights at once.
     */
    @Test
    fun `without faults each step of each trainer completes in time`() {
        expectThat(modelsBelow(floor = 1.0, emptyList())).isEmpty()
    }

    /**
     * Guards against starvation of a model under repeated leader changes: all open items restarted, and models with
     * little open work at the time of a change lost their upstreams.
     */
    @Test
    fun `each model earns its floor under repeated leader failures`() {
        val leaderFailures = (1..5).map { Fault.LeaderFailure((5 * it).seconds, gap = 1.seconds) }
        val faults = leaderFailures +
            Fault.UpstreamsDown(3.seconds, share = 0.17, duration = 4_500.milliseconds) +
            Fault.UpstreamsSlow(5.seconds, share = 0.17, duration = 6_500.milliseconds, slowness = 3.5)
        expectThat(modelsBelow(HIGHEST_FLOOR, faults)).isEmpty()
    }

    private companion object {
        const val SEEDS = 6

        /** Highest floor that users set for a model. */
        const val HIGHEST_FLOOR = 0.44
    }
}
