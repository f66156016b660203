package org.zinniahoist.standin

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Clock of a stand-in that runs [rate] times as fast as real time. */
public class StandInClock(public val rate: Double = 1.0) {
    private val origin = System.nanoTime()

    init {
        require(rate > 0.0) { "the clock rate must be positive, but is $rate" }
    }

    /** Returns the time on this clock since its creation. */
    public fun now(): Duration = ((System.nanoTime() - origin) * rate).toLong().nanoseconds

    /** Blocks the calling thread until this clock shows [time]. */
    public fun sleepUntil(time: Duration) {
        while (true) {
            val remaining = ((time - now()) / rate).inWholeNanoseconds
            if (remaining <= 0) return
            Thread.sleep(remaining / NANOSECONDS_PER_MILLISECOND, (remaining % NANOSECONDS_PER_MILLISECOND).toInt())
        }
    }

    /** Blocks the calling thread for [duration] on this clock. */
    public fun sleep(duration: Duration): Unit = sleepUntil(now() + duration)

    private companion object {
        private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
