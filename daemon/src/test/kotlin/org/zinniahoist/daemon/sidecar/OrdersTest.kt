package org.zinniahoist.daemon.sidecar

import com.linecorp.armeria.common.HttpStatus
import kotlinx.coroutines.flow.first
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Verdict
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.coordination.FencedOrder
import org.zinniahoist.state.coordination.Order
import org.zinniahoist.wire.ControlMessage.OrdersUpdate
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

internal class OrdersTest {
    private fun load(version: Long) = Order.LoadVersion(ModelName("m"), WeightVersion(version))

    private suspend fun Sidecar.update(link: FakeLink, vararg orders: FencedOrder) =
        onMessage(link, OrdersUpdate(Revision(1), StateCodec.encode(orders.toList())))

    private fun TestUpstream.tokens(): List<Long> =
        orders.value.map { checkNotNull(Regex("\"fencing_token\":(\\d+)").find(it)).groupValues[1].toLong() }

    @Nested
    inner class OldTokens {
        @ParameterizedTest
        @ValueSource(booleans = [false, true])
        fun `guards against an order of a deposed leader`(checksTokens: Boolean) =
            SidecarScenario.run(SidecarScenario.ENGINE, TestUpstream(checksTokens)) {
                repeat(9) { control.issue(load(it.toLong())) }
                val sidecar = sidecar()
                val link = link(sidecar)
                upstream.orders.first { it.size == 1 }
                sidecar.update(link, FencedOrder(FencingToken(8), load(99)))
                sidecar.update(link, FencedOrder(FencingToken(10), load(10)))
                upstream.orders.first { it.size == 2 }
                sidecar.update(link, FencedOrder(FencingToken(8), load(99)), FencedOrder(FencingToken(11), load(11)))
                upstream.orders.first { it.size == 3 }
                expectThat(upstream.tokens()).containsExactly(9L, 10L, 11L)
                expectThat(upstream.version).isEqualTo(11L)
            }

        @Test
        fun `guards against an old order from a replica before the committed orders were read`() =
            SidecarScenario.run(SidecarScenario.ENGINE) {
                repeat(2) { control.issue(load(it + 5L)) }
                control.holdQueries = true
                val sidecar = sidecar(awaitReady = false)
                val link = link(sidecar)
                sidecar.update(link, FencedOrder(FencingToken(1), load(5)))
                sidecar.start(link, "early")
                expectThat(link.end("early").verdict).isA<Verdict.NotRun>()
                    .get { reason }.isEqualTo(RefusalReason.CONTROL_UNAVAILABLE)
                control.holdQueries = false
                SidecarScenario.awaitUntil { sidecar.isReady }
                upstream.orders.first { it.isNotEmpty() }
                expectThat(upstream.tokens()).containsExactly(2L)
            }
    }

    @Test
    fun `guards against routing to an engine whose swap failed partway`() =
        SidecarScenario.run(SidecarScenario.ENGINE) {
            val works = upstream.swap
            upstream.swap = {
                upstream.version = null
                HttpStatus.INTERNAL_SERVER_ERROR
            }
            val sidecar = sidecar()
            val link = link(sidecar)
            control.issue(load(4))
            SidecarScenario.awaitUntil { !sidecar.load().available }
            sidecar.start(link, "a")
            expectThat(link.end("a").verdict).isA<Verdict.NotRun>().get { reason }.isEqualTo(RefusalReason.NO_UPSTREAM)
            upstream.swap = works
            SidecarScenario.awaitUntil { sidecar.load().available }
            expectThat(sidecar.load().version).isEqualTo(WeightVersion(4))
            expectThat(upstream.orders.value).hasSize(1)
        }

    @Test
    fun `guards against taking a load report from before a failed swap for the present version`() =
        SidecarScenario.run(SidecarScenario.ENGINE) {
            val sidecar = sidecar()
            val state = UpstreamState(isEngine = true)
            state.onReport(WeightVersion(1), clock())
            state.onOrderAnswered(null, clock())
            advance(1.seconds)
            state.onReport(WeightVersion(1), clock())
            expectThat(state.isAvailable).isEqualTo(false)
            advance(1.seconds)
            state.onReport(WeightVersion(1), clock())
            expectThat(state.isAvailable).isEqualTo(true)
            sidecar.close()
        }
}
