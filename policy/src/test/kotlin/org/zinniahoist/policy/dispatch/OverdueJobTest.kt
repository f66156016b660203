package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import org.zinniahoist.policy.dispatch.DispatchFixture.item
import org.zinniahoist.policy.dispatch.DispatchFixture.starts
import org.zinniahoist.policy.dispatch.DispatchFixture.upstream
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.single
import kotlin.time.Duration.Companion.seconds

internal class OverdueJobTest {
    private val dispatcher = ItemDispatcher()

    /** Guards against late jobs without a visible cause: the report has the run statistics of the slowest item. */
    @Test
    fun `reports the slowest item of a job that is due`() {
        dispatcher.registry.relist(listOf(upstream("a")))
        dispatcher.submit(listOf(item("fast"), item("slow"), item("waits")))
        val run = starts(dispatcher.tick(START)).single { it.key.item.value == "fast" }
        dispatcher.onBegin(run.run, WeightVersion(1), START)
        dispatcher.onEvent(run.run, 1, "one", null, START)
        expectThat(dispatcher.lateJobs(START + 6.seconds)).isEmpty()
        expectThat(dispatcher.lateJobs(START + 7.seconds)).single().isEqualTo(
            OverdueJob(
                job = "job",
                running = 2,
                waiting = 1,
                slowest = OverdueItem(
                    item("slow").key,
                    upstream = "a",
                    events = 0,
                    runs = 1,
                    moves = 0,
                    failures = 0,
                    consecutiveEmptyRuns = 0,
                ),
            ),
        )
    }

    /** Guards against items that are counted for the wrong model or omitted while they run. */
    @Test
    fun `counts the running and waiting items of a model`() {
        dispatcher.registry.relist(listOf(upstream("a")))
        dispatcher.submit(listOf(item("x"), item("y"), item("z")).map { it.copy(expectedTokens = 10) })
        dispatcher.tick(START)
        val work = ModelBacklog(running = 2, waiting = 1, tokens = 30, oldestWait = 2.seconds)
        expectThat(dispatcher.workOf(ModelName("m"), START + 2.seconds)).isEqualTo(work)
        expectThat(dispatcher.workOf(ModelName("other"), START + 2.seconds)).isEqualTo(ModelBacklog())
    }
}
