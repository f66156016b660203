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

    private enum class Mood { SOUND, CRASHING, REFUSING, SILENT }

    /** Upstreams and items of one seed. Only the first upstreams may get the weights that the items need. */
    private class Play(private val random: Random) {
        private val dispatcher = ItemDispatcher()
        private val upstreams = (1..random.nextInt(1, 5)).map { "u$it" }
        private val weighted = upstreams.take(random.nextInt(1, upstreams.size + 1)).toSet()
        private val moods = upstreams.associateWith { Mood.SOUND }.toMutableMap()
        private val running = LinkedHashMap<Long, DispatchAction.Start>()
        private val open = (1..random.nextInt(1, 7)).mapTo(LinkedHashSet()) { RequestIdentifier("x$it") }
        private val silent = HashSet<Long>()
        private var now = START
        private var isCalm = false

        fun lateItems(): Set<RequestIdentifier> {
            relist(upstreams)
            dispatcher.submit(open.map { item(it.value, minimum = 2, giveUpAfter = 1_000.seconds) })
            val calmFrom = START + random.nextInt(1, 20).seconds
            while (now < calmFrom) {
                if (random.nextInt(4) == 0) trouble()
                step()
            }
            calm()
            while (now < calmFrom + WITHIN) step()
            return open
        }

        private fun trouble() {
            val name = upstreams.random(random)
            when (random.nextInt(5)) {
                0 -> dispatcher.board.card(UpstreamIdentity(name))?.let { it.isLoading = !it.isLoading }
                1 -> relist(upstreams.filter { random.nextBoolean() })
                2 -> relist(upstreams)
                else -> moods[name] = Mood.entries.random(random)
            }
        }

        private fun calm() {
            isCalm = true
            upstreams.forEach { moods[it] = Mood.SOUND }
            relist(upstreams)
            dispatcher.board.all.forEach { it.isLoading = false }
        }

        private fun relist(names: List<String>) =
            dispatcher.board.relist(names.map { upstream(it, version = if (it in weighted) 2 else 1) })

        private fun step() {
            follow(dispatcher.tick(now))
            for (run in running.values.toList()) if (run.run in running) answer(run)
            now += TICK
        }

        private fun follow(actions: List<DispatchAction>) {
            for (action in actions) {
                when (action) {
                    is DispatchAction.Start -> running[action.run] = action
                    is DispatchAction.Abort -> running -= action.run
                    is DispatchAction.Finish -> open -= action.key.item
                }
            }
        }

        /** A run that began while its upstream was silent stays silent. */
        private fun answer(run: DispatchAction.Start) {
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

        private fun end(run: DispatchAction.Start, end: RunEnd) {
            running -= run.run
            follow(dispatcher.onEnd(run.run, end, now))
        }
    }

    private companion object {
        const val SEEDS = 400

        /** The rules allow 5 s at no upstream in steady state. */
        val WITHIN = 4.seconds
    }
}
