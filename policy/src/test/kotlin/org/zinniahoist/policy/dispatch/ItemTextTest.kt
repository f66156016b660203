package org.zinniahoist.policy.dispatch

import com.sun.management.ThreadMXBean
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.lang.management.ManagementFactory

internal class ItemTextTest {
    /** Guards against copying the whole text of a long item for each event. */
    @Test
    fun `appending an event to a long text allocates a bounded amount of memory`() {
        var text = ItemText()
        repeat(LONG) { text = text.plus(it + 1L, "e", version = null) }
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val before = threads.currentThreadAllocatedBytes
        repeat(EVENTS) { text = text.plus(LONG + it + 1L, "e", version = null) }
        val perEvent = (threads.currentThreadAllocatedBytes - before) / EVENTS
        println("bytes allocated for an event after $LONG others: $perEvent")
        expectThat(text.events.size).isEqualTo(LONG + EVENTS)
        expectThat(perEvent).isLessThan(BYTES_PER_EVENT)
    }

    private companion object {
        const val LONG = 4_000
        const val EVENTS = 320

        /** Allows a few nodes of 32 references each; a copy of 4,000 references takes at least 16 kB. */
        const val BYTES_PER_EVENT = 2_000L
    }
}
