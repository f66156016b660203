package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import org.zinniahoist.policy.dispatch.DispatchFixture.TICK
import org.zinniahoist.policy.dispatch.DispatchFixture.item
import org.zinniahoist.policy.dispatch.DispatchFixture.starts
import org.zinniahoist.policy.dispatch.DispatchFixture.upstream
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull

/** Tests upstreams that are missing from a single listing of the platform. */
internal class MissedListingTest {
    private val dispatcher = ItemDispatcher()
    private val registry get() = dispatcher.registry
    private val listed = listOf(upstream("a", slots = 2))

    private fun missOneListing() {
        registry.relist(emptyList())
        registry.relist(listed)
    }

    /** Guards against more runs than slots on a relisted upstream whose run count was lost. */
    @Test
    fun `a relisted upstream keeps its run count`() {
        registry.relist(listed)
        dispatcher.submit((1..4).map { item("x$it") })
        expectThat(starts(dispatcher.tick(START))).hasSize(2)
        missOneListing()
        expectThat(starts(dispatcher.tick(START + TICK))).isEmpty()
    }

    /** Guards against slots that stay occupied by runs that ended while their upstream was not listed. */
    @Test
    fun `a run that ends while its upstream is not listed frees its slot`() {
        registry.relist(listed)
        dispatcher.submit((1..4).map { item("x$it") })
        val runs = starts(dispatcher.tick(START))
        registry.relist(emptyList())
        runs.forEach { dispatcher.onEnd(it.run, RunEnd.Impossible, START) }
        registry.relist(listed)
        expectThat(starts(dispatcher.tick(START + TICK))).hasSize(2)
    }

    /** Guards against slots that stay occupied when this process loses the leadership and regains it. */
    @Test
    fun `run counts are zero after all runs were aborted`() {
        registry.relist(listed)
        dispatcher.submit((1..2).map { item("x$it") })
        expectThat(starts(dispatcher.tick(START))).hasSize(2)
        registry.relist(emptyList())
        dispatcher.clear()
        registry.relist(listed)
        dispatcher.submit((1..2).map { item("x$it") })
        expectThat(starts(dispatcher.tick(START + TICK))).hasSize(2)
    }

    /** Guards against an upstream that is marked as loading forever because its load was discarded. */
    @Test
    fun `a relisted upstream whose load was discarded can run items`() {
        val loader = WeightLoader(registry)
        registry.relist(listed)
        val model = checkNotNull(item("x").terms).model
        loader.onPublished(model, WeightVersion(2))
        loader.tick(START) { LoadMode.KEEP }
        val report = UpstreamReport(mapOf(model to WeightVersion(1)), isBusy = false, acceptedOrders = 0)
        loader.onReport(UpstreamIdentity("a"), report, START)
        loader.tick(START) { LoadMode.KEEP }
        expectThat(registry.tracked(UpstreamIdentity("a"))).isNotNull().get { isLoading }.isEqualTo(true)
        registry.relist(emptyList())
        loader.tick(START + TICK) { LoadMode.KEEP }
        registry.relist(listed)
        expectThat(registry.tracked(UpstreamIdentity("a"))).isNotNull().get { isLoading }.isFalse()
    }
}
