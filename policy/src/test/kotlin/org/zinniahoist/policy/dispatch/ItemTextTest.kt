package org.zinniahoist.policy.dispatch

import com.sun.management.ThreadMXBean
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.lang.management.ManagementFactory

internal class ItemTextTest {
    /** Guards against a text that is copied as a whole for each event of a long item. */
    @Test
    fun `an event of a long text takes no more memory than one of a short text`() {
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

        /** A few nodes of 32 references each; 4,000 references are 16 kB and more. */
        const val BYTES_PER_EVENT = 2_000L
    }
}
