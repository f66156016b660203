package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import org.zinniahoist.policy.dispatch.DispatchFixture.TICK
import org.zinniahoist.policy.dispatch.DispatchFixture.item
import org.zinniahoist.policy.dispatch.DispatchFixture.upstream
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Injects random faults into a simulated dispatcher, then stops them and finds items that do not run afterwards. */
internal class ItemPlacementPropertyTest {
    /**
     * Guards against an avoidance, back-off or suspension that never ends: after any sequence of faults each open item
     * completes within the bound.
     */
    @Test
    fun `after the faults each open item runs within the bound`() {
        val lateBySeed = (1..SEEDS).mapNotNull { seed ->
            Simulation(Random(seed)).lateItems().ifEmpty { null }?.let { seed to it }
        }
        expectThat(lateBySeed).isEmpty()
    }

    /** Guards against the same with items that crash or fail on each run, failing loads and leader changes. */
    @Test
    fun `after the faults each valid item runs within the bound beside others that never succeed`() {
        val lateBySeed = (1..SEEDS).mapNotNull { seed ->
            AdversarialSimulation(Random(seed)).lateItems().ifEmpty { null }?.let { seed to it }
        }
        expectThat(lateBySeed).isEmpty()
    }

    /**
     * Guards against the same with fair shares and placement by memory: an item that is never chosen, tokens that stay
     * held after their run or an upstream that stays reserved.
     */
    @Test
    fun `after the faults each open item runs within the bound with fair shares and placement by memory`() {
        val options = DispatchOptions(itemOrder = ItemOrderKind.FAIR_SHARE, placement = PlacementKind.MEMORY)
        val lateBySeed = (1..SEEDS).mapNotNull { seed ->
            val late =
                Simulation(Random(seed), options).lateItems() + AdversarialSimulation(Random(seed), options).lateItems()
            late.ifEmpty { null }?.let { seed to it }
        }
        expectThat(lateBySeed).isEmpty()
    }

    /** Guards against more runs than slots on an upstream that is missing from some listings. */
    @Test
    fun `no upstream has more runs than slots`() {
        val overloaded = (1..SEEDS).filter { seed ->
            AdversarialSimulation(Random(seed)).also { it.lateItems() }.peakRuns > SLOTS
        }
        expectThat(overloaded).isEmpty()
    }

    private enum class Behavior { HEALTHY, CRASHING, REFUSING, SILENT }

    /** Simulates the upstreams and items of one seed. Some upstreams may lack the weights that the items require. */
    private open class Simulation(
        protected val random: Random,
        options: DispatchOptions = DispatchOptions(),
    ) {
        protected val dispatcher = ItemDispatcher(options = options)
        protected val upstreams = (1..random.nextInt(1, 5)).map { "u$it" }
        private val upstreamsWithWeights = upstreams.take(random.nextInt(1, upstreams.size + 1)).toSet()
        private val behaviors = upstreams.associateWith { Behavior.HEALTHY }.toMutableMap()
        protected val running = LinkedHashMap<Long, DispatchAction.Start>()
        protected val open = (1..random.nextInt(1, 7)).mapTo(LinkedHashSet()) { RequestIdentifier("x$it") }
        private val silent = HashSet<Long>()
        protected var now = START
        protected var areFaultsOver = false

        fun lateItems(): Set<RequestIdentifier> {
            dispatcher.registry.engineMemory = mapOf(item("x").service to 500)
            relist(upstreams)
            submit()
            val faultsEnd = START + random.nextInt(1, 20).seconds
            while (now < faultsEnd) {
                if (random.nextInt(4) == 0) injectFault()
                step()
            }
            stopFaults()
            while (now < faultsEnd + BOUND) step()
            return open
        }

        protected fun submit() = dispatcher.submit(
            open.map {
                val number = it.value.last().digitToInt()
                item(it.value, minimum = 2, giveUpAfter = 1_000.seconds)
                    .copy(
                        promptTokens = 100 * number,
                        priority = number % 3,
                        group = "g${number % 2}",
                        wantedGroups = 1,
                    )
            },
        )

        protected open fun injectFault() {
            val name = upstreams.random(random)
            when (random.nextInt(5)) {
                0 -> load(name)
                1 -> relist(upstreams.filter { random.nextBoolean() })
                2 -> relist(upstreams)
                else -> behaviors[name] = Behavior.entries.random(random)
            }
        }

        protected open fun load(name: String) {
            dispatcher.registry.tracked(UpstreamIdentity(name))?.let { it.isLoading = !it.isLoading }
        }

        protected open fun stopFaults() {
            areFaultsOver = true
            upstreams.forEach { behaviors[it] = Behavior.HEALTHY }
            relist(upstreams)
            dispatcher.registry.all.forEach { it.isLoading = false }
        }

        protected fun relist(names: List<String>) =
            dispatcher.registry.relist(names.map { upstream(it, version = if (it in upstreamsWithWeights) 2 else 1) })

        protected open fun step() {
            execute(dispatcher.tick(now))
            for (run in running.values.toList()) if (run.run in running) answer(run)
            now += TICK
        }

        protected open fun execute(actions: List<DispatchAction>) {
            for (action in actions) {
                when (action) {
                    is DispatchAction.Start -> running[action.run] = action
                    is DispatchAction.Abort -> running -= action.run
                    is DispatchAction.RecordFailure -> onFailure(action)
                    is DispatchAction.Finish -> open -= action.key.item
                }
            }
        }

        private fun onFailure(action: DispatchAction.RecordFailure) =
            execute(dispatcher.onFailureRecorded(action.key, MAXIMUM_FAILURES, now))

        /** Answers [run] by the behavior of its upstream. A run answered with silence once stays silent. */
        protected open fun answer(run: DispatchAction.Start) {
            if (run.run in silent) return
            when (behaviors.getValue(run.upstream.identity.value)) {
                Behavior.HEALTHY -> complete(run)
                Behavior.CRASHING -> end(run, RunEnd.Broken("reset"))
                Behavior.REFUSING -> end(run, RunEnd.NotRun)
                Behavior.SILENT -> silent += run.run
            }
        }

        /** Delivers one event. During the fault phase most runs break after it. */
        private fun complete(run: DispatchAction.Start) {
            execute(dispatcher.onBegin(run.run, WeightVersion(2), now))
            execute(dispatcher.onEvent(run.run, (run.afterEvent ?: 0) + 1, "e", null, now))
            val isComplete = areFaultsOver || random.nextInt(4) == 0
            end(run, if (isComplete) RunEnd.Completed else RunEnd.Broken("cut"))
        }

        protected fun end(run: DispatchAction.Start, end: RunEnd) {
            running -= run.run
            execute(dispatcher.onEnd(run.run, end, now))
        }
    }

    /** Adds items that never succeed, a loader with failing loads, and leader changes. */
    private class AdversarialSimulation(
        random: Random,
        options: DispatchOptions = DispatchOptions(),
    ) : Simulation(random, options) {
        private val crashing = (1..random.nextInt(3)).mapTo(HashSet()) { RequestIdentifier("crashing-$it") }
        private val failing = (1..random.nextInt(3)).mapTo(HashSet()) { RequestIdentifier("failing-$it") }
        private val loader = WeightLoader(dispatcher.registry)
        private val terms = checkNotNull(item("x").terms)
        var peakRuns = 0
            private set

        init {
            open += crashing
            open += failing
            loader.onPublished(terms.model, WeightVersion(2))
        }

        override fun injectFault() {
            if (random.nextInt(FAULTS_PER_LEADER_CHANGE) != 0) return super.injectFault()
            dispatcher.clear()
            loader.clear()
            running.clear()
            submit()
            loader.onPublished(terms.model, WeightVersion(2))
        }

        /** Does nothing, because only the loader marks upstreams as loading in this simulation. */
        override fun load(name: String) = Unit

        override fun stopFaults() {
            areFaultsOver = true
            super.stopFaults()
            open -= crashing
        }

        override fun step() {
            loader.tick(now) { LoadMode.KEEP }.forEach(::executeLoad)
            super.step()
        }

        private fun executeLoad(action: LoadAction) {
            when (action) {
                is LoadAction.ReadReport -> report(action.upstream.identity)
                is LoadAction.Order -> loader.onOrderAnswer(
                    action.upstream.identity,
                    OrderAnswer.entries.random(random),
                    now,
                )
            }
        }

        /** Reports unchanged weights, as if the load failed, or a failed report request. */
        private fun report(upstream: UpstreamIdentity) {
            val version = dispatcher.registry.tracked(upstream)?.version(terms.model) ?: return
            val report = UpstreamReport(mapOf(terms.model to version), isBusy = false, acceptedOrders = 0)
            loader.onReport(upstream, report.takeIf { areFaultsOver || random.nextInt(3) != 0 }, now)
        }

        override fun execute(actions: List<DispatchAction>) {
            super.execute(actions)
            val runs = running.values.groupingBy { it.upstream.identity }.eachCount()
            peakRuns = maxOf(peakRuns, runs.values.maxOrNull() ?: 0)
        }

        override fun answer(run: DispatchAction.Start) = when (run.key.item) {
            in crashing -> end(run, RunEnd.Broken("reset"))
            in failing -> fail(run)
            else -> super.answer(run)
        }

        /** Fails [run]. After the faults a failing item is done once it has run, as its result takes several runs. */
        private fun fail(run: DispatchAction.Start) {
            if (areFaultsOver) open -= run.key.item
            end(run, RunEnd.Failed)
        }
    }

    private companion object {
        const val SEEDS = 400

        /** Number of failed runs after which an item of the fixture is given up. */
        const val MAXIMUM_FAILURES = 3

        /** Slot count of each upstream of the fixture. */
        const val SLOTS = 2

        /** The platform allows 5 s without an upstream in steady state. */
        val BOUND = 4.seconds

        /** Average number of faults per leader change. */
        const val FAULTS_PER_LEADER_CHANGE = 10
    }
}
