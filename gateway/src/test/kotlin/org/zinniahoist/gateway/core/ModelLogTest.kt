package org.zinniahoist.gateway.core

import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.ModelBacklog
import org.zinniahoist.policy.dispatch.ModelUpstreams
import org.zinniahoist.policy.dispatch.OverdueItem
import org.zinniahoist.policy.dispatch.OverdueJob
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isFalse
import kotlin.time.Duration.Companion.milliseconds

internal class ModelLogTest {
    private val model = ModelName("m")
    private val upstreams = ModelUpstreams(model, WeightVersion(4), homes = 3, share = 5.4, current = 2, loads = 1)
    private val work = ModelBacklog(running = 16, waiting = 9, tokens = 7_000, oldestWait = 1_250.milliseconds)
    private val late = OverdueJob(
        job = "j",
        running = 2,
        waiting = 1,
        slowest = OverdueItem(
            ItemKey("j", RequestIdentifier("x")),
            upstream = "u1",
            events = 4,
            runs = 3,
            moves = 1,
            failures = 0,
            consecutiveEmptyRuns = 1,
        ),
    )
    private val metrics = GatewayMetrics()
    private val lines = ArrayList<String>()
    private val log = ModelLog(metrics, lines::add)

    private fun tick(milliseconds: Int, jobs: List<OverdueJob> = emptyList()) =
        log.tick(Moment.ZERO + milliseconds.milliseconds, { listOf(upstreams) }, { work }, { jobs })

    /** Guards against a starved model whose share of the upstreams is not logged. */
    @Test
    fun `the line reports the upstreams and the waiting items of a model`() {
        tick(milliseconds = 0)
        expectThat(lines).containsExactly(
            "event=model model=m version=4 homes=3 share=5 current=2 loads=1 running=16 waiting=9 tokens=7000 " +
                "oldest-wait-ms=1250",
        )
        expectThat(metrics.text())
            .contains("""zinniahoist_model_homes{model="m"} 3.0""")
            .contains("""zinniahoist_model_oldest_wait_seconds{model="m"} 1.25""")
    }

    /** Guards against log flooding, and against a late job that is logged again every second. */
    @Test
    fun `writes one line per second for a model and one line per late job`() {
        repeat(40) { tick(milliseconds = 50 * it, jobs = listOf(late)) }
        expectThat(lines).hasSize(3)
        expectThat(lines[1]).contains(
            "event=job-late job=j running=2 waiting=1 slowest=x upstream=u1 events=4 runs=3 moves=1 failures=0 " +
                "fruitless-runs=1",
        )
    }

    /** Guards against stale gauges on a replica that is no longer the leader. */
    @Test
    fun `a follower exports no model gauges`() {
        tick(milliseconds = 0)
        log.clear()
        expectThat("zinniahoist_model_homes{" in metrics.text()).isFalse()
    }
}
