package org.zinniahoist.standin.engine

import org.zinniahoist.standin.StandInClock
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Token rate over the last full window of one second on the engine's clock. */
internal class TokenRate(private val clock: StandInClock) {
    private val count = AtomicLong()
    private var windowStart = clock.now()
    private var windowCount = 0L
    private var lastRate = 0.0

    val total: Long get() = count.get()

    fun add() {
        count.incrementAndGet()
    }

    @Synchronized
    fun tokensPerSecond(): Double {
        val elapsed = clock.now() - windowStart
        if (elapsed >= 1.seconds) {
            lastRate = (total - windowCount) / elapsed.toDouble(DurationUnit.SECONDS)
            windowStart += elapsed
            windowCount = total
        }
        return lastRate
    }
}
