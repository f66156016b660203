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

/** Upstreams that one reading of the platform's list lacks. */
internal class MissedReadingTest {
    private val dispatcher = ItemDispatcher()
    private val board get() = dispatcher.board
    private val listed = listOf(upstream("a", slots = 2))

    private fun missOneReading() {
        board.relist(emptyList())
        board.relist(listed)
    }

    /** Guards against more runs than places on an upstream that comes back without the count of its runs. */
    @Test
    fun `an upstream that comes back still has its runs`() {
        board.relist(listed)
        dispatcher.submit((1..4).map { item("x$it") })
        expectThat(starts(dispatcher.tick(START))).hasSize(2)
        missOneReading()
        expectThat(starts(dispatcher.tick(START + TICK))).isEmpty()
    }

    /** Guards against places that stay taken by runs that ended while the list lacked their upstream. */
    @Test
    fun `a run that ends meanwhile frees its place`() {
        board.relist(listed)
        dispatcher.submit((1..4).map { item("x$it") })
        val runs = starts(dispatcher.tick(START))
        board.relist(emptyList())
        runs.forEach { dispatcher.onEnd(it.run, RunEnd.Impossible, START) }
        board.relist(listed)
        expectThat(starts(dispatcher.tick(START + TICK))).hasSize(2)
    }

    /** Guards against places that stay taken after another leader has taken over and lost the leadership again. */
    @Test
    fun `nothing is counted after all runs were ended`() {
        board.relist(listed)
        dispatcher.submit((1..2).map { item("x$it") })
        expectThat(starts(dispatcher.tick(START))).hasSize(2)
        board.relist(emptyList())
        dispatcher.clear()
        board.relist(listed)
        dispatcher.submit((1..2).map { item("x$it") })
        expectThat(starts(dispatcher.tick(START + TICK))).hasSize(2)
    }

    /** Guards against an upstream that is closed to items for good because its load was forgotten half-way. */
    @Test
    fun `an upstream that was loading is open to items when it comes back`() {
        val loader = WeightLoader(board)
        board.relist(listed)
        val model = checkNotNull(item("x").terms).model
        loader.onNamed(model, WeightVersion(2))
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
