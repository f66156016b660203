package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import org.zinniahoist.policy.dispatch.DispatchFixture.item
import org.zinniahoist.policy.dispatch.DispatchFixture.starts
import org.zinniahoist.policy.dispatch.DispatchFixture.upstream
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class WaitReportTest {
    private val dispatcher = ItemDispatcher()

    /** Guards against waits without a visible cause: the report counts the upstreams excluded for each reason. */
    @Test
    fun `counts the upstreams excluded for each reason`() {
        val registry = dispatcher.registry
        val leaving = upstream("leaving").copy(isLeaving = true)
        registry.relist(
            listOf(upstream("old"), upstream("full", slots = 0, version = 2), upstream("loading", version = 2)) +
                listOf(upstream("failed", version = 2), leaving),
        )
        registry.tracked(UpstreamIdentity("loading"))?.isLoading = true
        registry.onFailure(UpstreamIdentity("failed"), START)
        dispatcher.submit(listOf(item("x", minimum = 2)))
        dispatcher.tick(START)
        val report = dispatcher.oldestWaiting(START + 100.milliseconds)
        val counts = UpstreamCounts(
            listed = 5,
            usable = 0,
            leaving = 1,
            suspended = 1,
            loading = 1,
            withoutWeights = 2,
            withoutFreeSlot = 1,
        )
        expectThat(report).isEqualTo(
            WaitReport(item("x").key, waited = 100.milliseconds, WaitReason.NoCandidate, counts),
        )
    }

    /** Guards against a back-off that is reported as a lack of upstreams. */
    @Test
    fun `reports the remaining back-off`() {
        dispatcher.registry.relist(listOf(upstream("a")))
        dispatcher.submit(listOf(item("x")))
        val run = starts(dispatcher.tick(START)).single()
        dispatcher.onEnd(run.run, RunEnd.NotRun, START)
        val report = dispatcher.waitReport(item("x").key, START + 20.milliseconds)
        expectThat(report?.reason).isEqualTo(WaitReason.Paused(40.milliseconds))
        expectThat(dispatcher.waitReport(item("x").key, START + 60.milliseconds)?.reason)
            .isEqualTo(WaitReason.Startable)
    }

    /** Guards against a waiting time that each run without an event resets. */
    @Test
    fun `an event resets the waiting time and a run without events does not`() {
        dispatcher.registry.relist(listOf(upstream("a")))
        dispatcher.submit(listOf(item("x")))
        val first = starts(dispatcher.tick(START)).single()
        expectThat(dispatcher.oldestWaiting(START)).isNull()
        dispatcher.onEnd(first.run, RunEnd.NotRun, START)
        expectThat(dispatcher.oldestWaiting(START + 2.seconds)?.waited).isEqualTo(2.seconds)
        val second = starts(dispatcher.tick(START + 2.seconds)).single()
        dispatcher.onBegin(second.run, WeightVersion(1), START + 2.seconds)
        dispatcher.onEvent(second.run, 1, "one", null, START + 2.seconds)
        dispatcher.onEnd(second.run, RunEnd.NotRun, START + 2.seconds)
        expectThat(dispatcher.oldestWaiting(START + 3.seconds)?.waited).isEqualTo(0.seconds)
    }
}
