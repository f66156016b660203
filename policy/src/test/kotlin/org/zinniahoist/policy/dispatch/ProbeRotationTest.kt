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

/** Tests that valid items get probe runs while other items keep crashing the only upstream. */
internal class ProbeRotationTest {
    private val dispatcher = ItemDispatcher()

    /** Ticks for 12 s and breaks each run of the [crashing] items without an event. Returns the items in run order. */
    private fun startedItems(crashing: Set<String>): List<String> {
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

    /** Guards against a valid item that never runs because a more urgent one takes every probe of the only upstream. */
    @Test
    fun `a valid item gets a probe although a more urgent one crashes the upstream`() {
        dispatcher.registry.relist(listOf(upstream("a", slots = 1)))
        dispatcher.submit(listOf(item("crashing").copy(dueAt = START + 1.seconds), item("sound")))
        expectThat(startedItems(setOf("crashing"))).contains("sound")
    }

    /** Guards against several crashing items that take all probes among themselves. */
    @Test
    fun `probes rotate among all items`() {
        val crashing = (1..3).map { "crashing-$it" }
        dispatcher.registry.relist(listOf(upstream("a", slots = 1)))
        dispatcher.submit(crashing.map { item(it).copy(dueAt = START + 1.seconds) } + item("sound"))
        expectThat(startedItems(crashing.toSet()).take(PROBES).toSet()).containsExactlyInAnyOrder(crashing + "sound")
    }

    private companion object {
        /** One run before the upstream is suspended and one probe for each of four items. */
        const val PROBES = 5
    }
}
