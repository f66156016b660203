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
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class WeightLoaderTest {
    private val model = ModelName("m")
    private val start = Moment(0)
    private val registry = UpstreamRegistry()
    private val loader = WeightLoader(registry)

    private fun upstream(name: String, models: List<ModelName> = listOf(model)) = ListedUpstream(
        identity = UpstreamIdentity(name),
        service = ServiceName("drafts"),
        endpoint = Endpoint("127.0.0.1", 80),
        failureDomain = "a",
        slots = 4,
        isLeaving = false,
        versions = models.associateWith { WeightVersion(1) },
    )

    private fun report(version: Long, orders: Long, isBusy: Boolean = false) =
        UpstreamReport(mapOf(model to WeightVersion(version)), isBusy, orders)

    private fun tick(now: Moment) = loader.tick(now) { LoadMode.KEEP }

    private fun order(name: String, now: Moment): LoadAction.Order {
        tick(now)
        loader.onReport(UpstreamIdentity(name), report(version = 1, orders = 3), now)
        return tick(now).filterIsInstance<LoadAction.Order>().single()
    }

    /** Guards against loads that pause all upstreams at once or slow each other down. */
    @Test
    fun `loads a few at a time`() {
        registry.relist((1..6).map { upstream("u$it") })
        loader.onPublished(model, WeightVersion(2))
        expectThat(tick(start)).hasSize(2).all { isA<LoadAction.ReadReport>() }
        expectThat(tick(start + 20.milliseconds)).isEmpty()
    }

    /** Guards against a delayed order that takes effect after a newer one. */
    @Test
    fun `an order states the number of orders accepted before`() {
        registry.relist(listOf(upstream("a")))
        loader.onPublished(model, WeightVersion(2))
        expectThat(order("a", start).expectedOrders).isEqualTo(3)
    }

    /** Guards against items that are sent to an upstream while it loads weights and starts no runs. */
    @Test
    fun `marks an upstream as loading until its report shows the weights`() {
        registry.relist(listOf(upstream("a")))
        loader.onPublished(model, WeightVersion(2))
        order("a", start)
        loader.onOrderAnswer(UpstreamIdentity("a"), OrderAnswer.ACCEPTED, start)
        expectThat(registry.tracked(UpstreamIdentity("a"))?.isLoading == true).isTrue()
        loader.onReport(UpstreamIdentity("a"), report(version = 1, orders = 4, isBusy = true), start + 500.milliseconds)
        expectThat(registry.tracked(UpstreamIdentity("a"))?.isLoading == true).isTrue()
        loader.onReport(UpstreamIdentity("a"), report(version = 2, orders = 4), start + 1.seconds)
        expectThat(registry.tracked(UpstreamIdentity("a"))?.isLoading == true).isFalse()
        expectThat(tick(start + 2.seconds)).isEmpty()
    }

    /** Guards against an upstream that keeps old weights because an order was lost with no response to show it. */
    @Test
    fun `repeats an order when a report shows that it was lost`() {
        registry.relist(listOf(upstream("a")))
        loader.onPublished(model, WeightVersion(2))
        order("a", start)
        loader.onOrderAnswer(UpstreamIdentity("a"), OrderAnswer.UNKNOWN, start)
        loader.onReport(UpstreamIdentity("a"), report(version = 1, orders = 3), start + 2.seconds)
        expectThat(tick(start + 2.seconds).filterIsInstance<LoadAction.Order>()).hasSize(1)
    }

    /** Guards against an order that counts as lost because a delayed leader handles an early report late. */
    @Test
    fun `does not repeat an order because of an early report that is handled late`() {
        registry.relist(listOf(upstream("a")))
        loader.onPublished(model, WeightVersion(2))
        order("a", start)
        loader.onOrderAnswer(UpstreamIdentity("a"), OrderAnswer.UNKNOWN, start)
        val early = report(version = 1, orders = 3)
        loader.onReport(UpstreamIdentity("a"), early, now = start + 2.seconds, requestedAt = start + 1.seconds)
        expectThat(tick(start + 2.seconds).filterIsInstance<LoadAction.Order>()).isEmpty()
    }

    /**
     * Guards against an upstream that never gets items because its loads fail: it accepts each order but keeps its old
     * weights, which many items allow.
     */
    @Test
    fun `an upstream whose loads fail can run items between the orders`() {
        registry.relist(listOf(upstream("a")))
        loader.onPublished(model, WeightVersion(2))
        val upstream = UpstreamIdentity("a")
        var now = start
        var accepted = 0L
        var availableTicks = 0
        repeat(400) {
            now += 50.milliseconds
            for (action in tick(now)) {
                when (action) {
                    is LoadAction.ReadReport -> loader.onReport(upstream, report(version = 1, accepted), now)
                    is LoadAction.Order -> {
                        accepted++
                        loader.onOrderAnswer(upstream, OrderAnswer.ACCEPTED, now)
                    }
                }
            }
            if (registry.tracked(upstream)?.isLoading == false) availableTicks++
        }
        expectThat(availableTicks).isGreaterThan(200)
        expectThat(accepted).isGreaterThan(2)
    }

    /** Guards against upstreams whose loads always fail and block the loads of the other upstreams. */
    @Test
    fun `upstreams whose loads fail do not block the loads of others`() {
        registry.relist((1..6).map { upstream("u$it") })
        loader.onPublished(model, WeightVersion(2))
        val failing = setOf(UpstreamIdentity("u1"), UpstreamIdentity("u2"))
        val orders = HashMap<UpstreamIdentity, Long>()
        var now = start
        repeat(400) {
            now += 50.milliseconds
            for (action in tick(now)) {
                when (action) {
                    is LoadAction.ReadReport -> {
                        val upstream = action.upstream.identity
                        val accepted = orders[upstream] ?: 0
                        val version = if (accepted > 0 && upstream !in failing) 2L else 1L
                        loader.onReport(upstream, report(version, accepted), now)
                    }

                    is LoadAction.Order -> {
                        orders.merge(action.upstream.identity, 1, Long::plus)
                        loader.onOrderAnswer(action.upstream.identity, OrderAnswer.ACCEPTED, now)
                    }
                }
            }
        }
        expectThat(orders.size).isEqualTo(6)
    }

    /** Guards against a second order while reports do not show the first one yet. */
    @Test
    fun `does not repeat an order before reports can show it`() {
        registry.relist(listOf(upstream("a")))
        loader.onPublished(model, WeightVersion(2))
        order("a", start)
        loader.onReport(UpstreamIdentity("a"), report(version = 1, orders = 3), start + 100.milliseconds)
        expectThat(tick(start + 100.milliseconds).filterIsInstance<LoadAction.Order>()).isEmpty()
    }

    /**
     * Guards against starvation when several trainers share the upstreams: the loads of the first model used the whole
     * limit on concurrent loads, and the steps of the other models expired before their weights were loaded.
     */
    @Test
    fun `several models load concurrently, each on its own upstreams`() {
        val models = (1..4).map { ModelName("m$it") }
        registry.relist((1..32).map { upstream("u$it", models) })
        models.forEach { loader.onPublished(it, WeightVersion(2)) }
        var now = start
        val loaded = HashMap<ModelName, HashSet<UpstreamIdentity>>()
        repeat(100) {
            now += 100.milliseconds
            val actions = tick(now)
            for (action in actions) execute(action, loaded, now)
        }
        expectThat(loaded.mapValues { it.value.size }).isEqualTo(models.associateWith { 8 })
    }

    /** Guards against equal shares for unequal demand, which leave the trainer with the most work too few upstreams. */
    @Test
    fun `a model with more open work gets more upstreams`() {
        val busy = ModelName("busy")
        val calm = ModelName("calm")
        registry.relist((1..8).map { upstream("u$it", listOf(busy, calm)) })
        listOf(busy, calm).forEach { loader.onPublished(it, WeightVersion(2)) }
        var now = start
        val loaded = HashMap<ModelName, HashSet<UpstreamIdentity>>()
        repeat(100) {
            now += 100.milliseconds
            val actions = loader.tick(now, { ModelDemand(if (it == busy) 30_000 else 10_000) }) { LoadMode.KEEP }
            for (action in actions) execute(action, loaded, now)
        }
        expectThat(loaded.mapValues { it.value.size }).isEqualTo(mapOf(busy to 6, calm to 2))
    }

    /** Guards against a trainer that gets all upstreams because it publishes a version before the others. */
    @Test
    fun `the first model with a published version loads only on its share`() {
        val models = (1..4).map { ModelName("m$it") }
        registry.relist((1..32).map { upstream("u$it", models) })
        loader.onPublished(models.first(), WeightVersion(2))
        var now = start
        val loaded = HashMap<ModelName, HashSet<UpstreamIdentity>>()
        repeat(100) {
            now += 100.milliseconds
            tick(now).forEach { execute(it, loaded, now) }
        }
        expectThat(loaded.mapValues { it.value.size }).isEqualTo(mapOf(models.first() to 8))
    }

    /** Ticks for 10 s with a run on each upstream and returns the upstreams that loaded the new weights. */
    private fun loadedUnderDemand(minimum: Long): Set<UpstreamIdentity> {
        registry.relist((1..6).map { upstream("u$it") })
        registry.all.forEach { it.begin(model) }
        loader.onPublished(model, WeightVersion(2))
        val loaded = HashMap<ModelName, HashSet<UpstreamIdentity>>()
        var now = start
        repeat(100) {
            now += 100.milliseconds
            loader.tick(now, { ModelDemand(tokens = 100, WeightVersion(minimum)) }) { LoadMode.KEEP }
                .forEach { execute(it, loaded, now) }
        }
        return loaded[model].orEmpty()
    }

    /** Guards against late steps because each new version interrupts the runs on all upstreams. */
    @Test
    fun `half of the upstreams get new weights if the work allows the old ones`() {
        expectThat(loadedUnderDemand(minimum = 1)).hasSize(3)
        registry.all.forEach { it.end(model) }
        expectThat(tick(start + 20.seconds)).hasSize(2)
    }

    /** Guards against items that wait for new weights while loads are deferred on upstreams with older ones. */
    @Test
    fun `all upstreams get new weights if the work does not allow the old ones`() {
        expectThat(loadedUnderDemand(minimum = 2)).hasSize(6)
    }

    /** Executes [action] on a simulated upstream that loads weights instantly. */
    private fun execute(action: LoadAction, loaded: HashMap<ModelName, HashSet<UpstreamIdentity>>, now: Moment) {
        when (action) {
            is LoadAction.ReadReport -> {
                val identity = action.upstream.identity
                val versions = action.upstream.versions.mapValues { (model, version) ->
                    if (identity in loaded[model].orEmpty()) WeightVersion(2) else version
                }
                loader.onReport(identity, UpstreamReport(versions, isBusy = false, acceptedOrders = 0), now)
            }

            is LoadAction.Order -> {
                loaded.getOrPut(action.model) { HashSet() } += action.upstream.identity
                loader.onOrderAnswer(action.upstream.identity, OrderAnswer.ACCEPTED, now)
            }
        }
    }
}
