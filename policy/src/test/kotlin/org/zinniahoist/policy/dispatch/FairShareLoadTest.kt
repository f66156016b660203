package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo

/** Compares both orders of items under the same loads and prints their figures. */
internal class FairShareLoadTest {
    /** Four trainers on engines whose slots suffice for jobs of about nine groups. */
    private val plan = LoadPlan(trainers = 4, jobs = 6, wantedShare = 0.9, engines = 12, meanOutput = 30.0)

    private class Outcome(runs: List<EngineLoadSimulation>) {
        val figures = LoadFigures.over(SEEDS) { runs[it - 1].figures() }
        val groupsByTrainer = (0..3).map { trainer -> runs.sumOf { it.groupsInTime[trainer] ?: 0 } }
    }

    private fun compare(pattern: String, plan: LoadPlan): Pair<Outcome, Outcome> {
        val (dueTime, fairShare) = ItemOrderKind.entries.map { kind ->
            val runs = SEEDS.map { EngineLoadSimulation(plan, DispatchOptions(itemOrder = kind), it).run() }
            Outcome(runs).also { println("$pattern, $kind: ${it.figures}, by trainer ${it.groupsByTrainer}") }
        }
        return dueTime to fairShare
    }

    /** Guards against items that start although their trainer no longer needs their groups. */
    @Test
    fun `several trainers compete for too few slots`() {
        for (groups in listOf(10, 11, 12, 14)) {
            val (dueTime, fairShare) = compare("one class, $groups groups", plan.copy(groups = groups))
            expectThat(fairShare.figures.groups).isGreaterThanOrEqualTo(dueTime.figures.groups)
            expectThat(fairShare.figures.jobsInTime).isGreaterThan(dueTime.figures.jobsInTime)
        }
    }

    /** Guards against a workspace whose many items take the slots from one with few. */
    @Test
    fun `a large workspace competes with a small one`() {
        val load = plan.copy(groups = 12, workspace = { if (it == 0) "small" else "large" })
        val (dueTime, fairShare) = compare("workspaces", load)
        expectThat(fairShare.groupsByTrainer.first()).isGreaterThan(dueTime.groupsByTrainer.first())
    }

    /** Guards against urgent jobs that are late because of others. */
    @Test
    fun `one of four trainers has a higher priority`() {
        val (dueTime, fairShare) = compare("priorities", plan.copy(groups = 12, priority = { if (it == 0) 0 else 1 }))
        expectThat(fairShare.groupsByTrainer.first()).isGreaterThan(dueTime.groupsByTrainer.first())
    }

    private companion object {
        val SEEDS = 1..8
    }
}
