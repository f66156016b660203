package org.zinniahoist.gateway.entry

import org.junit.jupiter.api.Test
import org.zinniahoist.model.Revision
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests how an entry fetches the configurations that a core announces. */
class EntryConfigurationTest {
    /**
     * Guards against an entry that fetches and decodes every configuration that a core applies in sequence during its
     * start.
     */
    @Test
    fun `configurations announced in quick succession are fetched with few calls`() {
        EntryFixture(grace = 2.seconds, latency = 1.milliseconds).use { fixture ->
            fixture.start()
            for (revision in 2L..NEWEST) fixture.announce(revision)
            val end = System.nanoTime() + TIMEOUT.inWholeNanoseconds
            while (fixture.activeRevisions.lastOrNull() != Revision(NEWEST) && System.nanoTime() < end) Thread.sleep(5)
            expectThat(fixture.activeRevisions.lastOrNull()).isEqualTo(Revision(NEWEST))
            expectThat(fixture.fetches).isLessThanOrEqualTo(MAXIMUM_FETCHES)
            fixture.entry.stop()
        }
    }

    /**
     * Guards against an entry that starts together with the cores, and serves requests under old configurations while
     * they replay their logs.
     */
    @Test
    fun `a starting entry activates no configuration that is older than the newest one`() {
        EntryFixture(grace = 2.seconds, latency = 1.milliseconds).use { fixture ->
            fixture.loseLeader()
            fixture.entry.start()
            for (revision in REPLAYED) {
                fixture.announce(revision)
                Thread.sleep(REPLAY_INTERVAL.inWholeMilliseconds)
            }
            fixture.electLeader(NEWEST)
            val end = System.nanoTime() + TIMEOUT.inWholeNanoseconds
            while (fixture.activeRevisions.isEmpty() && System.nanoTime() < end) Thread.sleep(5)
            expectThat(fixture.activeRevisions.toList()).isEqualTo(listOf(Revision(NEWEST)))
            fixture.entry.stop()
        }
    }

    /**
     * Guards against an entry that finds no core for ever, because all cores that its settings named at its start have
     * been replaced.
     */
    @Test
    fun `an entry finds a core that only its changed settings name`() {
        EntryFixture(grace = 2.seconds, latency = 1.milliseconds, seedHost = UNUSED_HOST).use { fixture ->
            fixture.entry.start()
            fixture.nameCoreAsSeed()
            val end = System.nanoTime() + TIMEOUT.inWholeNanoseconds
            while (fixture.activeRevisions.isEmpty() && System.nanoTime() < end) Thread.sleep(5)
            expectThat(fixture.activeRevisions.toList()).isEqualTo(listOf(Revision(1)))
            fixture.entry.stop()
        }
    }

    private companion object {
        /** A loopback address on which nothing listens. */
        const val UNUSED_HOST = "127.0.0.2"

        val REPLAYED = listOf(2L, 7L, 21L, 30L)
        val REPLAY_INTERVAL = 150.milliseconds

        const val NEWEST = 31L
        const val MAXIMUM_FETCHES = 4
        val TIMEOUT = 5.seconds
    }
}
