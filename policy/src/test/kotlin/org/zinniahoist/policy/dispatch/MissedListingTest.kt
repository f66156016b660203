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
    private val board get() = dispatcher.board
    private val listed = listOf(upstream("a", slots = 2))

    private fun missOneListing() {
        board.relist(emptyList())
        board.relist(listed)
    }

    /** Guards against more runs than slots on a relisted upstream whose run count was lost. */
    @Test
    fun `a relisted upstream keeps its run count`() {
        board.relist(listed)
        dispatcher.submit((1..4).map { item("x$it") })
        expectThat(starts(dispatcher.tick(START))).hasSize(2)
        missOneListing()
        expectThat(starts(dispatcher.tick(START + TICK))).isEmpty()
    }

    /** Guards against slots that stay occupied by runs that ended while their upstream was not listed. */
    @Test
    fun `a run that ends while its upstream is not listed frees its slot`() {
        board.relist(listed)
        dispatcher.submit((1..4).map { item("x$it") })
        val runs = starts(dispatcher.tick(START))
        board.relist(emptyList())
        runs.forEach { dispatcher.onEnd(it.run, RunEnd.Impossible, START) }
        board.relist(listed)
        expectThat(starts(dispatcher.tick(START + TICK))).hasSize(2)
    }

    /** Guards against slots that stay occupied when this process loses the leadership and regains it. */
    @Test
    fun `run counts are zero after all runs were aborted`() {
        board.relist(listed)
        dispatcher.submit((1..2).map { item("x$it") })
        expectThat(starts(dispatcher.tick(START))).hasSize(2)
        board.relist(emptyList())
        dispatcher.clear()
        board.relist(listed)
        dispatcher.submit((1..2).map { item("x$it") })
        expectThat(starts(dispatcher.tick(START + TICK))).hasSize(2)
    }

    /** Guards against an upstream that is marked as loading forever because its load was discarded. */
    @Test
    fun `a relisted upstream whose load was discarded can run items`() {
        val loader = WeightLoader(board)
        board.relist(listed)
        val model = checkNotNull(item("x").terms).model
        loader.onPublished(model, WeightVersion(2))
        loader.tick(START) { LoadMode.KEEP }
        val report = UpstreamReport(mapOf(model to WeightVersion(1)), isBusy = false, acceptedOrders = 0)
        loader.onReport(UpstreamIdentity("a"), report, START)
        loader.tick(START) { LoadMode.KEEP }
        expectThat(board.tracked(UpstreamIdentity("a"))).isNotNull().get { isLoading }.isEqualTo(true)
        board.relist(emptyList())
        loader.tick(START + TICK) { LoadMode.KEEP }
        board.relist(listed)
        expectThat(board.tracked(UpstreamIdentity("a"))).isNotNull().get { isLoading }.isFalse()
    }
}
