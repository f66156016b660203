package org.zinniahoist.policy.reward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds

/** Tests reward calls and live requests that share a service, over simulated upstreams. */
internal class RewardBurstTest {
    /** Pattern: the texts of many groups complete at the same moment while live callers use the same service. */
    @Test
    fun `live callers keep their target while the calls of many groups arrive at once`() {
        val simulation = RewardSimulation(RewardFixture.scheduler(), LONG_CALL)
        simulation.addGroups(groups = 20, items = 16)
        simulation.run()
        expectThat(simulation.scored).isEqualTo(320)
        expectThat(simulation.longestLiveLatency).isLessThanOrEqualTo(LIVE_TARGET)
    }

    /** Shows that the simulation detects the fault: calls that may use all slots make live callers wait. */
    @Test
    fun `live callers miss their target if calls may use all slots`() {
        val scheduler = RewardFixture.scheduler(options = RewardOptions(slotShare = 1.0))
        val simulation = RewardSimulation(scheduler, LONG_CALL)
        simulation.addGroups(groups = 20, items = 16)
        simulation.run()
        expectThat(simulation.longestLiveLatency).isGreaterThan(LIVE_TARGET)
    }

    /** Pattern: the items of all groups complete interleaved, so that arrival order completes all groups at the end. */
    @Test
    fun `completes groups one after the other instead of all at the end`() {
        val nearest = RewardSimulation(RewardFixture.scheduler(order = NearestCompletionRewardOrder))
        val arrival = RewardSimulation(RewardFixture.scheduler(order = ArrivalRewardOrder))
        for (simulation in listOf(nearest, arrival)) {
            simulation.addGroups(groups = 12, items = 8)
            simulation.run()
        }
        expectThat(nearest.meanGroupCompletion).isLessThanOrEqualTo(arrival.meanGroupCompletion * 0.7)
    }

    /** Pattern: a service slows down, so that calls and live requests queue on it. */
    @Test
    fun `makes fewer calls at once to a service that misses its target`() {
        val simulation = RewardSimulation(RewardFixture.scheduler(), callTime = RewardFixture.TARGET * 1.5)
        simulation.addGroups(groups = 10, items = 8)
        simulation.run()
        expectThat(simulation.scored).isEqualTo(80)
        expectThat(simulation.callsAtOnceInTheEnd).isLessThanOrEqualTo(3)
    }

    private companion object {
        /** Latency target of the live requests. */
        val LIVE_TARGET = 186.milliseconds

        /** Time of a reward call that is longer than the target of the live requests, but within its own. */
        val LONG_CALL = 250.milliseconds
    }
}
