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

/** Plays random trouble, then calm, against a dispatcher, and finds items that are not run in the calm. */
internal class ItemPlacementPropertyTest {
    /**
     * Guards against an avoidance, a pause or a suspension without an end: after any trouble each open item brings an
     * event within the bound.
     */
    @Test
    fun `in the calm each open item runs within the bound`() {
        val late = (1..SEEDS).mapNotNull { seed -> Play(Random(seed)).lateItems().ifEmpty { null }?.let { seed to it } }
        expectThat(late).isEmpty()
    }

    /** Guards against the same beside items that crash or fail each run, failing loads and changes of the leader. */
    @Test
    fun `in the calm each sound item runs within the bound beside others that never succeed`() {
        val late = (1..SEEDS).mapNotNull { seed ->
            HardPlay(Random(seed)).lateItems().ifEmpty { null }?.let { seed to it }
        }
        expectThat(late).isEmpty()
    }

    /** Guards against more runs than places on an upstream that some readings of the list lack. */
    @Test
    fun `no upstream has more runs than places`() {
        val crowded = (1..SEEDS).filter { seed -> HardPlay(Random(seed)).also { it.lateItems() }.mostRuns > PLACES }
        expectThat(crowded).isEmpty()
    }

    private enum class Mood { SOUND, CRASHING, REFUSING, SILENT }

    /** Upstreams and items of one seed. Only the first upstreams may get the weights that the items need. */
    private open class Play(protected val random: Random) {
        protected val dispatcher = ItemDispatcher()
        protected val upstreams = (1..random.nextInt(1, 5)).map { "u$it" }
        private val weighted = upstreams.take(random.nextInt(1, upstreams.size + 1)).toSet()
        private val moods = upstreams.associateWith { Mood.SOUND }.toMutableMap()
        protected val running = LinkedHashMap<Long, DispatchAction.Start>()
        protected val open = (1..random.nextInt(1, 7)).mapTo(LinkedHashSet()) { RequestIdentifier("x$it") }
        private val silent = HashSet<Long>()
        protected var now = START
        protected var isCalm = false

        fun lateItems(): Set<RequestIdentifier> {
            relist(upstreams)
            submit()
            val calmFrom = START + random.nextInt(1, 20).seconds
            while (now < calmFrom) {
                if (random.nextInt(4) == 0) trouble()
                step()
            }
            calm()
            while (now < calmFrom + WITHIN) step()
            return open
        }

        protected fun submit() = dispatcher.submit(
            open.map {
                item(it.value, minimum = 2, giveUpAfter = 1_000.seconds)
            },
        )

        protected open fun trouble() {
            val name = upstreams.random(random)
            when (random.nextInt(5)) {
                0 -> load(name)
                1 -> relist(upstreams.filter { random.nextBoolean() })
                2 -> relist(upstreams)
                else -> moods[name] = Mood.entries.random(random)
            }
        }

        protected open fun load(name: String) {
            dispatcher.board.tracked(UpstreamIdentity(name))?.let { it.isLoading = !it.isLoading }
        }

        protected open fun calm() {
            isCalm = true
            upstreams.forEach { moods[it] = Mood.SOUND }
            relist(upstreams)
            dispatcher.board.all.forEach { it.isLoading = false }
        }

        protected fun relist(names: List<String>) =
            dispatcher.board.relist(names.map { upstream(it, version = if (it in weighted) 2 else 1) })

        protected open fun step() {
            follow(dispatcher.tick(now))
            for (run in running.values.toList()) if (run.run in running) answer(run)
            now += TICK
        }

        protected open fun follow(actions: List<DispatchAction>) {
            for (action in actions) {
                when (action) {
                    is DispatchAction.Start -> running[action.run] = action
                    is DispatchAction.Abort -> running -= action.run
                    is DispatchAction.Finish -> open -= action.key.item
                }
            }
        }

        /** A run that began while its upstream was silent stays silent. */
        protected open fun answer(run: DispatchAction.Start) {
            if (run.run in silent) return
            when (moods.getValue(run.upstream.identity.value)) {
                Mood.SOUND -> complete(run)
                Mood.CRASHING -> end(run, RunEnd.Broken("reset"))
                Mood.REFUSING -> end(run, RunEnd.NotRun)
                Mood.SILENT -> silent += run.run
            }
        }

        /** In the trouble most runs bring one event and break. */
        private fun complete(run: DispatchAction.Start) {
            follow(dispatcher.onBegin(run.run, WeightVersion(2), now))
            follow(dispatcher.onEvent(run.run, (run.afterEvent ?: 0) + 1, "e", null, now))
            val isWhole = isCalm || random.nextInt(4) == 0
            end(run, if (isWhole) RunEnd.Completed else RunEnd.Broken("cut"))
        }

        protected fun end(run: DispatchAction.Start, end: RunEnd) {
            running -= run.run
            follow(dispatcher.onEnd(run.run, end, now))
        }
    }

    /** Adds items that never succeed, a loader whose loads fail in the trouble, and leaders that take over. */
    private class HardPlay(random: Random) : Play(random) {
        private val crashing = (1..random.nextInt(3)).mapTo(HashSet()) { RequestIdentifier("crashing-$it") }
        private val failing = (1..random.nextInt(3)).mapTo(HashSet()) { RequestIdentifier("failing-$it") }
        private val loader = WeightLoader(dispatcher.board)
        private val terms = checkNotNull(item("x").terms)
        var mostRuns = 0
            private set

        init {
            open += crashing
            open += failing
            loader.onNamed(terms.model, WeightVersion(2))
        }

        override fun trouble() {
            if (random.nextInt(TROUBLES_PER_TERM) != 0) return super.trouble()
            dispatcher.clear()
            loader.clear()
            running.clear()
            submit()
            loader.onNamed(terms.model, WeightVersion(2))
        }

        /** Only the loader marks upstreams. */
        override fun load(name: String) = Unit

        override fun calm() {
            isCalm = true
            super.calm()
            open -= crashing
        }

        override fun step() {
            loader.tick(now) { LoadMode.KEEP }.forEach(::carryOut)
            super.step()
        }

        private fun carryOut(action: LoadAction) {
            when (action) {
                is LoadAction.ReadReport -> report(action.upstream.identity)
                is LoadAction.Order -> loader.onOrderAnswer(
                    action.upstream.identity,
                    OrderAnswer.entries.random(random),
                    now,
                )
            }
        }

        /** An upstream whose loads fail keeps its weights, says so, or says nothing. */
        private fun report(upstream: UpstreamIdentity) {
            val version = dispatcher.board.tracked(upstream)?.version(terms.model) ?: return
            val report = UpstreamReport(mapOf(terms.model to version), isBusy = false, acceptedOrders = 0)
            loader.onReport(upstream, report.takeIf { isCalm || random.nextInt(3) != 0 }, now)
        }

        override fun follow(actions: List<DispatchAction>) {
            super.follow(actions)
            val runs = running.values.groupingBy { it.upstream.identity }.eachCount()
            mostRuns = maxOf(mostRuns, runs.values.maxOrNull() ?: 0)
        }

        override fun answer(run: DispatchAction.Start) = when (run.key.item) {
            in crashing -> end(run, RunEnd.Broken("reset"))
            in failing -> fail(run)
            else -> super.answer(run)
        }

        /** An item that fails is owed a run, and its result only after several. */
        private fun fail(run: DispatchAction.Start) {
            if (isCalm) open -= run.key.item
            end(run, RunEnd.Failed)
        }
    }

    private companion object {
        const val SEEDS = 400

        /** Of each upstream of the fixture. */
        const val PLACES = 2

        /** The rules allow 5 s at no upstream in steady state. */
        val WITHIN = 4.seconds

        /** Changes of the leader among the troubles, on average. */
        const val TROUBLES_PER_TERM = 10
    }
}
