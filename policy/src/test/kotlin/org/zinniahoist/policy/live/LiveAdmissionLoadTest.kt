package org.zinniahoist.policy.live

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.policy.live.LiveLoadSimulation.Companion.CAPACITY_PER_SECOND
import org.zinniahoist.policy.live.LiveLoadSimulation.Companion.DEADLINE
import org.zinniahoist.policy.live.LiveLoadSimulation.Companion.TARGET
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the admission under loads in virtual time, beside the baseline that admits everything. */
class LiveAdmissionLoadTest {
    private fun adaptive() = listOf(AdaptiveAdmission(), AdaptiveAdmission())

    private val baseline = listOf(UnlimitedAdmission, UnlimitedAdmission)

    private fun shareInTarget(requests: List<SimulatedRequest>): Double =
        requests.count { request -> request.latency?.let { it <= TARGET } == true }.toDouble() / requests.size

    private fun p99(requests: List<SimulatedRequest>): Duration =
        requests.mapNotNull { it.latency }.sorted().let { it[it.size * 99 / 100] }

    private fun report(name: String, seed: Long, runs: Map<String, List<SimulatedRequest>>) {
        for ((kind, requests) in runs) {
            val answered = requests.count { request -> request.latency?.let { it <= DEADLINE } == true }
            println(
                "load=$name seed=$seed admission=$kind requests=${requests.size} in-target=${shareInTarget(
                    requests,
                )} " +
                    "in-deadline=${answered.toDouble() / requests.size} p99=${p99(requests)}",
            )
        }
    }

    /** Guards against requests that wait or are refused although capacity is free. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `in calm nothing waits and nothing is refused`(seed: Long) {
        val calm = LiveLoad(CAPACITY_PER_SECOND * 0.4, 0.seconds, 10.seconds)
        val requests = LiveLoadSimulation(seed, adaptive()).run(calm)
        expectThat(requests).all {
            get { hasWaited }.isFalse()
            get { refusedAt.size }.isEqualTo(0)
        }
    }

    /** Guards against a burst above capacity in which requests of the higher priority queue behind the others. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `a burst with two priorities serves the higher one within its target`(seed: Long) {
        fun loads() = arrayOf(
            LiveLoad(CAPACITY_PER_SECOND * 0.4, 0.seconds, 6.seconds, priority = 0),
            LiveLoad(CAPACITY_PER_SECOND * 1.2, 1.seconds, 5.seconds, priority = 1),
        )
        val adaptive = LiveLoadSimulation(seed, adaptive()).run(*loads())
        val unlimited = LiveLoadSimulation(seed, baseline).run(*loads())
        report("two-priorities", seed, mapOf("adaptive" to adaptive, "none" to unlimited))
        fun high(requests: List<SimulatedRequest>) = shareInTarget(requests.filter { it.load.priority == 0 })
        report("two-priorities-high", seed, mapOf("adaptive" to adaptive.filter { it.load.priority == 0 }))
        expectThat(shareInTarget(adaptive)).isGreaterThan(shareInTarget(unlimited))
        expectThat(high(adaptive)).isGreaterThan(high(unlimited))
        expectThat(p99(adaptive)).isLessThan(p99(unlimited))
    }

    /** Guards against a workspace that floods and takes the places of those that send a few requests. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `a workspace that floods does not displace others`(seed: Long) {
        fun loads() = arrayOf(LiveLoad(CAPACITY_PER_SECOND * 2, 1.seconds, 5.seconds, workspace = "flood")) +
            List(5) { LiveLoad(CAPACITY_PER_SECOND * 0.05, 0.seconds, 6.seconds, workspace = "small-$it") }
        val adaptive = LiveLoadSimulation(seed, adaptive()).run(*loads())
        val unlimited = LiveLoadSimulation(seed, baseline).run(*loads())
        fun small(requests: List<SimulatedRequest>) = requests.filter { it.load.workspace != "flood" }
        report("flood-others", seed, mapOf("adaptive" to small(adaptive), "none" to small(unlimited)))
        expectThat(shareInTarget(small(adaptive))).isGreaterThan(shareInTarget(small(unlimited)))
    }

    /** Guards against a queue before slow upstreams that makes all requests late, and that outlasts the slowness. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `upstreams that turn slow make few requests late`(seed: Long) {
        val slowTime = 2.seconds..4.seconds
        fun slowdown(upstream: Int, at: Duration) = if (upstream < 2 && at in slowTime) 4.0 else 1.0
        val load = LiveLoad(CAPACITY_PER_SECOND * 0.7, 0.seconds, 8.seconds)
        val adaptive = LiveLoadSimulation(seed, adaptive(), slowdown = ::slowdown).run(load)
        val unlimited = LiveLoadSimulation(seed, baseline, slowdown = ::slowdown).run(load)
        report("slow-upstreams", seed, mapOf("adaptive" to adaptive, "none" to unlimited))
        expectThat(shareInTarget(adaptive)).isGreaterThan(shareInTarget(unlimited))
    }

    /** Guards against refused clients that return in one moment, as the next burst. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `the returns after a burst are spread`(seed: Long) {
        val burst = LiveLoad(rate = 40_000.0, from = 100.milliseconds, until = 110.milliseconds)
        val requests = LiveLoadSimulation(seed, adaptive()).run(burst)
        val returns = requests.mapNotNull { it.returnedAt.firstOrNull() }.sorted()
        val busiest = returns.indices.maxOf { first -> returns.count { it - returns[first] in Duration.ZERO..STEP } }
        println("load=returns seed=$seed refused=${returns.size} busiest-10ms=$busiest")
        expectThat(returns.size).isGreaterThan(100)
        // The returns may fill a third of the deadline; a tenth of them within 10 ms would be a second burst.
        expectThat(busiest).isLessThanOrEqualTo(returns.size / 10)
    }

    private companion object {
        val STEP = 10.milliseconds
    }
}
