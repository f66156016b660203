package org.zinniahoist.policy.dispatch

import org.junit.jupiter.api.Test
import org.zinniahoist.policy.dispatch.DispatchFixture.START
import org.zinniahoist.policy.dispatch.DispatchFixture.TICK
import org.zinniahoist.policy.dispatch.DispatchFixture.item
import org.zinniahoist.policy.dispatch.DispatchFixture.starts
import org.zinniahoist.policy.dispatch.DispatchFixture.upstream
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import kotlin.time.Duration.Companion.seconds

/** Items that crash the only upstream that can run them, beside sound ones. */
internal class ProbeTurnsTest {
    private val dispatcher = ItemDispatcher()

    /** Breaks the runs of the items [crashing] without an event, for 12 s. Returns the items in the order of runs. */
    private fun play(crashing: Set<String>): List<String> {
        val started = ArrayList<String>()
        var now = START
        while (now < START + 12.seconds) {
            for (run in starts(dispatcher.tick(now))) {
                started += run.key.item.value
                if (run.key.item.value in crashing) dispatcher.onEnd(run.run, RunEnd.Broken("reset"), now)
            }
            now += TICK
        }
        return started
    }

    /** Guards against a sound item that never runs because an urgent one takes each probe of the only upstream. */
    @Test
    fun `a sound item gets a probe beside an urgent one that crashes the upstream`() {
        dispatcher.board.relist(listOf(upstream("a", slots = 1)))
        dispatcher.submit(listOf(item("crashing").copy(dueAt = START + 1.seconds), item("sound")))
        expectThat(play(setOf("crashing"))).contains("sound")
    }

    /** Guards against several items that pass the probes among themselves. */
    @Test
    fun `each of several items gets a probe in its turn`() {
        val crashing = (1..3).map { "crashing-$it" }
        dispatcher.board.relist(listOf(upstream("a", slots = 1)))
        dispatcher.submit(crashing.map { item(it).copy(dueAt = START + 1.seconds) } + item("sound"))
        expectThat(play(crashing.toSet()).take(PROBES).toSet()).containsExactlyInAnyOrder(crashing + "sound")
    }

    private companion object {
        /** One run before the upstream is suspended, and a probe for each of four items. */
        const val PROBES = 5
    }
}
