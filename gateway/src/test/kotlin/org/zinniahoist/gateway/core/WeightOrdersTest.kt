package org.zinniahoist.gateway.core

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.Server
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.zinniahoist.gateway.entry.UpstreamFixture
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.InvalidStatus
import org.zinniahoist.gateway.upstream.RawUpstream
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.ModelDemand
import org.zinniahoist.policy.dispatch.UpstreamRegistry
import org.zinniahoist.policy.dispatch.UpstreamReport
import org.zinniahoist.policy.dispatch.WeightLoader
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal class WeightOrdersTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val thread = EngineThread(onFailure = {})
    private val calls = UpstreamCalls(UpstreamFixture.Names)
    private val paths = CopyOnWriteArrayList<String>()
    private val server = Server.builder()
        .http(0)
        .serviceUnder("/") { _, request ->
            paths += request.path()
            HttpResponse.of(HttpStatus.OK)
        }
        .build()
    private val registry = UpstreamRegistry()
    private val loader = WeightLoader(registry)
    private val metrics = GatewayMetrics()

    /** Advances of the monotonic clock and of the wall clock. */
    @Volatile
    private var advance = Duration.ZERO

    @Volatile
    private var wallAdvance = Duration.ZERO
    private val first = OrderAuthority("m", FencingToken(1), from = Moment.ZERO, lease = 3.seconds)

    @AfterEach
    fun close() {
        scope.cancel()
        thread.close()
        calls.close()
        server.stop().join()
    }

    /** Orders a weight load, and runs [afterConfirmation] between the leadership check and the order. */
    private fun order(afterConfirmation: (WeightOrders) -> Unit) {
        server.start().join()
        order(Endpoint("127.0.0.1", server.activeLocalPort()), afterConfirmation)
    }

    private fun order(endpoint: Endpoint, afterConfirmation: (WeightOrders) -> Unit) {
        val dialect = StubDialect(UpstreamReport(mapOf(MODEL to WeightVersion(1)), isBusy = false, acceptedOrders = 0))
        lateinit var orders: WeightOrders
        val confirm: suspend () -> Boolean = { true.also { afterConfirmation(orders) } }
        orders = WeightOrders(dialect, calls, loader, scope, thread::post, { NOW + advance }, confirm, metrics) {
            wallAdvance.inWholeMilliseconds
        }
        orders.authority = first
        val versions = mapOf(MODEL to WeightVersion(1))
        registry.relist(
            listOf(ListedUpstream(UpstreamIdentity("u"), EngineFixture.SERVICE, endpoint, "a", 4, false, versions)),
        )
        loader.onPublished(MODEL, WeightVersion(2))
        repeat(ATTEMPTS) {
            thread.post { orders.tick(needsSingleVersion = false) { ModelDemand() } }
            Thread.sleep(PAUSE_MILLISECONDS)
            if ("event=\"order\"" in metrics.text()) return
        }
    }

    /** Guards against an order of an earlier term that is sent with its old fence after a newer one was obtained. */
    @Test
    fun `sends no order with the fence of an earlier term`() {
        order { it.authority = OrderAuthority("m", FencingToken(2), from = Moment.ZERO, lease = 3.seconds) }
        expectThat(metrics.text()).contains("zinniahoist_events_total{event=\"order\",outcome=\"unknown\"} 1.0")
        expectThat(paths.distinct()).containsExactly(StubDialect.REPORT)
    }

    /** Guards against two holders that give orders in turn, because one was paused after its check. */
    @Test
    fun `sends no order when it was paused after the leadership check`() {
        order { advance = 2.seconds }
        expectThat(paths.distinct()).containsExactly(StubDialect.REPORT)
    }

    /** Guards against the same on a machine whose monotonic clock stands still meanwhile. */
    @Test
    fun `sends no order when the wall clock shows a pause after the leadership check`() {
        order { wallAdvance = 2.seconds }
        expectThat(paths.distinct()).containsExactly(StubDialect.REPORT)
    }

    /** Guards against a fence check that blocks all orders. */
    @Test
    fun `sends an order with the current fence`() {
        order { }
        expectThat(paths.distinct()).containsExactly(StubDialect.REPORT, StubDialect.ORDER)
    }

    /** Guards against a late copy of a report that passes for the upstream's word that it holds the ordered version. */
    @Test
    fun `a late copy of a report is not the answer to an order`() {
        val received = AtomicInteger()
        lateinit var upstream: RawUpstream
        upstream = RawUpstream {
            val report = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
            val isOrder = received.incrementAndGet() > 1
            if (!isOrder || upstream.connections == 1) text(report)
            if (isOrder) text("HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n")
        }
        upstream.use { order(it.endpoint) { } }
        expectThat(metrics.text()).contains("zinniahoist_events_total{event=\"order\",outcome=\"conflict\"} 1.0")
    }

    /** Guards against an order that counts as accepted because of a response with an invalid status. */
    @ParameterizedTest
    @EnumSource
    fun `a response with an invalid status is not the answer to an order`(status: InvalidStatus) {
        val received = AtomicInteger()
        val upstream = RawUpstream {
            val isOrder = received.incrementAndGet() > 1
            text(if (isOrder) status.response(null) else "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        }
        upstream.use { order(it.endpoint) { } }
        expectThat(metrics.text()).contains("zinniahoist_events_total{event=\"order\",outcome=\"unknown\"} 1.0")
    }

    private companion object {
        val MODEL = ModelName("m")
        val NOW = Moment.ZERO + 60.seconds
        const val ATTEMPTS = 200
        const val PAUSE_MILLISECONDS = 25L
    }
}
