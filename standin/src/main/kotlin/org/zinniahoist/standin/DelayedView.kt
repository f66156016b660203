package org.zinniahoist.standin

import kotlin.time.Duration

/** Series of values of which only those that are at least [lag] old can be read. */
internal class DelayedView<T>(
    private val clock: StandInClock,
    private val lag: () -> Duration,
    first: T,
) {
    private val values = ArrayDeque(listOf(clock.now() to first))

    /** Adds [value]. Values closer together than a fiftieth of the lag replace each other. */
    @Synchronized
    fun record(value: T) {
        val now = clock.now()
        if (values.size > 1 && now - values[values.size - 2].first < lag() / RESOLUTION) values.removeLast()
        values.addLast(now to value)
    }

    /** Returns the newest value that is old enough, or the first one. */
    @Synchronized
    fun read(): T {
        val horizon = clock.now() - lag()
        while (values.size > 1 && values[1].first <= horizon) values.removeFirst()
        return values.first().second
    }

    private companion object {
        private const val RESOLUTION = 50
    }
}
