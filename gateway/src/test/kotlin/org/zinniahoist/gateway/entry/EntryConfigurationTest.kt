package org.zinniahoist.gateway.entry

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Revision
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How an entry follows the configurations that a core announces. */
class EntryConfigurationTest {
    /**
     * Guards against an entry that asks for and decodes each of the configurations that a core applies one after the
     * other when it starts.
     */
    @Test
    fun `configurations announced in quick succession are fetched together`() {
        EntryFixture(grace = 2.seconds, work = 1.milliseconds).use { fixture ->
            fixture.start()
            for (revision in 2L..NEWEST) fixture.announce(revision)
            val end = System.nanoTime() + BOUND.inWholeNanoseconds
            while (fixture.inForce.lastOrNull() != Revision(NEWEST) && System.nanoTime() < end) Thread.sleep(5)
            expectThat(fixture.inForce.lastOrNull()).isEqualTo(Revision(NEWEST))
            expectThat(fixture.fetches).isLessThanOrEqualTo(MOST)
            fixture.entry.stop()
        }
    }

    private companion object {
        const val NEWEST = 31L
        const val MOST = 4
        val BOUND = 5.seconds
    }
}
