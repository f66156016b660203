package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class WeightLoaderTest {
    private val model = ModelName("m")
    private val start = Moment(0)
    private val board = UpstreamBoard()
    private val loader = WeightLoader(board)

    private fun upstream(name: String) = ListedUpstream(
        identity = UpstreamIdentity(name),
        service = ServiceName("drafts"),
        endpoint = Endpoint("127.0.0.1", 80),
        failureDomain = "a",
        slots = 4,
        isLeaving = false,
        versions = mapOf(model to WeightVersion(1)),
    )

    private fun report(version: Long, orders: Long, isBusy: Boolean = false) =
        UpstreamReport(mapOf(model to WeightVersion(version)), isBusy, orders)

    private fun tick(now: Moment) = loader.tick(now) { LoadMode.KEEP }

    private fun order(name: String, now: Moment): LoadAction.Order {
        tick(now)
        loader.onReport(UpstreamIdentity(name), report(version = 1, orders = 3), now)
        return tick(now).filterIsInstance<LoadAction.Order>().single()
    }

    /** Guards against all upstreams standing still together, and against loads that slow each other down. */
    @Test
    fun `loads a few at a time`() {
        board.relist((1..6).map { upstream("u$it") })
        loader.onNamed(model, WeightVersion(2))
        expectThat(tick(start)).hasSize(2).all { isA<LoadAction.ReadReport>() }
        expectThat(tick(start + 20.milliseconds)).isEmpty()
    }

    /** Guards against an order that is carried out late, after a newer one. */
    @Test
    fun `names the orders that the upstream has accepted`() {
        board.relist(listOf(upstream("a")))
        loader.onNamed(model, WeightVersion(2))
        expectThat(order("a", start).expectedOrders).isEqualTo(3)
    }

    /** Guards against items that are sent to an upstream while it starts nothing. */
    @Test
    fun `marks an upstream until its report shows the weights`() {
        board.relist(listOf(upstream("a")))
        loader.onNamed(model, WeightVersion(2))
        order("a", start)
        loader.onOrderAnswer(UpstreamIdentity("a"), OrderAnswer.ACCEPTED, start)
        expectThat(board.card(UpstreamIdentity("a"))?.isLoading == true).isTrue()
        loader.onReport(UpstreamIdentity("a"), report(version = 1, orders = 4, isBusy = true), start + 500.milliseconds)
        expectThat(board.card(UpstreamIdentity("a"))?.isLoading == true).isTrue()
        loader.onReport(UpstreamIdentity("a"), report(version = 2, orders = 4), start + 1.seconds)
        expectThat(board.card(UpstreamIdentity("a"))?.isLoading == true).isFalse()
        expectThat(tick(start + 2.seconds)).isEmpty()
    }

    /** Guards against an upstream that stays on old weights because the answer to its order was lost. */
    @Test
    fun `orders again when a report shows that the order was lost`() {
        board.relist(listOf(upstream("a")))
        loader.onNamed(model, WeightVersion(2))
        order("a", start)
        loader.onOrderAnswer(UpstreamIdentity("a"), OrderAnswer.UNKNOWN, start)
        loader.onReport(UpstreamIdentity("a"), report(version = 1, orders = 3), start + 2.seconds)
        expectThat(tick(start + 2.seconds).filterIsInstance<LoadAction.Order>()).hasSize(1)
    }

    /** Guards against a second load while a report does not show the first yet. */
    @Test
    fun `does not order again before reports can show the order`() {
        board.relist(listOf(upstream("a")))
        loader.onNamed(model, WeightVersion(2))
        order("a", start)
        loader.onReport(UpstreamIdentity("a"), report(version = 1, orders = 3), start + 100.milliseconds)
        expectThat(tick(start + 100.milliseconds).filterIsInstance<LoadAction.Order>()).isEmpty()
    }
}
