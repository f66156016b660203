package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Plays days of four trainers on 28 upstreams, whose work fills a little over half of the places. */
internal class SharedUpstreamsTest {
    private val plans = listOf(
        TrainerPlan(ModelName("few-large-groups"), groups = 6, groupSize = 16, meanEvents = 15.3),
        TrainerPlan(ModelName("long"), groups = 17, groupSize = 8, meanEvents = 16.9),
        TrainerPlan(ModelName("long-too"), groups = 17, groupSize = 8, meanEvents = 16.9),
        TrainerPlan(ModelName("short"), groups = 13, groupSize = 8, meanEvents = 12.3),
    )

    /** Returns the models that earn less than [floor] on a day of one of the seeds, with seed and share. */
    private fun below(floor: Double, troubles: List<DayTrouble>): List<String> = (1..SEEDS).flatMap { seed ->
        SharedUpstreamsDay(plans, seed, troubles).play()
            .filterValues { it < floor }
            .map { (model, earned) -> "seed $seed: $model earns $earned" }
    }

    /**
     * Guards against a trainer that falls behind on a day without trouble, because its model has too few upstreams or
     * all of them load new weights at once.
     */
    @Test
    fun `without trouble each step of each trainer is complete in time`() {
        expectThat(below(floor = 1.0, emptyList())).isEmpty()
    }

    /**
     * Guards against a class that is starved on days with several changes of the leader: all open items began anew,
     * and models that had little open work at that moment lost their upstreams.
     */
    @Test
    fun `each model earns its floor though the leader is lost again and again`() {
        val losses = (1..5).map { DayTrouble.LeaderLost((5 * it).seconds, gap = 1.seconds) }
        val troubles = losses +
            DayTrouble.UpstreamsDown(3.seconds, share = 0.17, span = 4_500.milliseconds) +
            DayTrouble.UpstreamsSlow(5.seconds, share = 0.17, span = 6_500.milliseconds, slowness = 3.5)
        expectThat(below(HIGHEST_FLOOR, troubles)).isEmpty()
    }

    private companion object {
        const val SEEDS = 6

        /** The highest floor that users set for a class on a day. */
        const val HIGHEST_FLOOR = 0.44
    }
}
