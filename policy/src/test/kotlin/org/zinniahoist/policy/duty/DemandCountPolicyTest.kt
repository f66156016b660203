package org.zinniahoist.policy.duty

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.routes.ScalingBounds
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

/** Tests the number of upstreams of a service with two failure domains and 4 slots for each upstream. */
internal class DemandCountPolicyTest {
    private val policy = DemandCountPolicy()
    private var now = Moment.ZERO
    private var listed = mapOf("a" to 4, "b" to 2)

    /** Decides each second for [seconds] and returns the orders, all of which the platform accepts. */
    private fun decide(wantedSlots: Double?, seconds: Int = 1, bounds: ScalingBounds = ScalingBounds(1, 20)) =
        (1..seconds).flatMap {
            now += 1.seconds
            val service = ScaledService(SERVICE, bounds, wantedSlots, listed, slotsPerUpstream = 4.0)
            val orders = policy.orders(listOf(service), now)
            orders.forEach { policy.onAnswered(it, now) }
            orders.map { it.failureDomain to it.count }
        }

    /** Lists what was ordered. */
    private fun list(orders: List<Pair<String, Int>>) {
        listed = listed + orders
    }

    /** Guards against work that waits for upstreams although the demand is known. */
    @Test
    fun `more upstreams are ordered at once, in proportion to the failure domains`() {
        expectThat(decide(wantedSlots = 46.0)).containsExactly("a" to 8, "b" to 4)
    }

    /** Guards against calls that change nothing. */
    @Test
    fun `nothing is ordered while the count is right`() {
        expectThat(decide(wantedSlots = 24.0, seconds = 60)).isEmpty()
    }

    /** Guards against orders by a guess, before any upstream has been measured. */
    @Test
    fun `nothing is ordered while the demand is not known`() {
        expectThat(decide(wantedSlots = null, seconds = 60)).isEmpty()
    }

    /** Guards against upstreams that stop in a pause between two batches and are missing in the next. */
    @Test
    fun `fewer upstreams are ordered only after the demand was lower for 15 seconds`() {
        decide(wantedSlots = 24.0, seconds = 60)
        expectThat(decide(wantedSlots = 4.0, seconds = 15)).isEmpty()
        expectThat(decide(wantedSlots = 24.0)).isEmpty()
        expectThat(decide(wantedSlots = 10.0, seconds = 15)).isEmpty()
        expectThat(decide(wantedSlots = 10.0)).containsExactly("a" to 2, "b" to 1)
    }

    /** Guards against a new leader that stops upstreams before it knows the demand. */
    @Test
    fun `a new leader lowers no count in its first 15 seconds`() {
        decide(wantedSlots = 24.0, seconds = 60)
        policy.clear()
        expectThat(decide(wantedSlots = 0.0, seconds = 15)).isEmpty()
        expectThat(decide(wantedSlots = 0.0)).containsExactly("a" to 1, "b" to 1)
    }

    /** Guards against counts that the platform does not allow, which it would change by itself. */
    @Test
    fun `counts stay within the bounds`() {
        expectThat(decide(wantedSlots = 0.0, bounds = ScalingBounds(3, 5))).containsExactly("b" to 3)
        listed = mapOf("a" to 4, "b" to 3)
        list(decide(wantedSlots = 400.0, bounds = ScalingBounds(3, 5)))
        expectThat(listed).isEqualTo(mapOf("a" to 5, "b" to 5))
        val lowered = decide(wantedSlots = 0.0, seconds = 30, bounds = ScalingBounds(3, 5)).toMap()
        expectThat(lowered).isEqualTo(mapOf("a" to 3, "b" to 3))
    }

    /** Guards against upstreams that are ordered twice while they start, and against an order that was lost. */
    @Test
    fun `an order is repeated every 10 seconds until the list shows its effect`() {
        val first = decide(wantedSlots = 32.0)
        expectThat(first).containsExactly("a" to 5, "b" to 3)
        expectThat(decide(wantedSlots = 32.0, seconds = 9)).isEmpty()
        expectThat(decide(wantedSlots = 32.0)).isEqualTo(first)
        listed = mapOf("a" to 5, "b" to 2)
        expectThat(decide(wantedSlots = 32.0, seconds = 9)).isEmpty()
        expectThat(decide(wantedSlots = 32.0)).containsExactly("b" to 3)
        list(first)
        expectThat(decide(wantedSlots = 32.0, seconds = 30)).isEmpty()
    }

    /** Guards against a load that is measured wrongly because reports overlap or cover a long time. */
    @Test
    fun `live load is the time of requests a second, without that before the first report`() {
        val live = LiveLoadTracker()
        live.onReport(Incarnation(1), mapOf(SERVICE to 900_000), now)
        repeat(10) {
            now += 1.seconds
            live.onReport(Incarnation(1), mapOf(SERVICE to 900_000 + (it + 1) * 3_000L), now)
        }
        expectThat(live.inProgress(SERVICE, now)).isEqualTo(3.0)
        expectThat(live.inProgress(SERVICE, now + 11.seconds)).isEqualTo(0.0)
    }

    /** Guards against a service that is ordered although it has no scaling, and a service that lost all upstreams. */
    @Test
    fun `a service without listed upstreams gets no order`() {
        listed = emptyMap()
        expectThat(decide(wantedSlots = 40.0, seconds = 20)).hasSize(0)
    }

    private companion object {
        val SERVICE = ServiceName("s")
    }
}
