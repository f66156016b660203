package org.zinniahoist.daemon.sidecar

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Moving averages of the time that attempts spend on the upstream. */
internal class ServiceTimes {
    @Volatile
    var meanMilliseconds: Double = 0.0
        private set

    @Volatile
    private var millisecondsPerToken = 0.0

    @Synchronized
    fun record(elapsed: Duration, tokens: Int) {
        val milliseconds = elapsed.inWholeNanoseconds / NANOSECONDS_PER_MILLISECOND
        meanMilliseconds = average(meanMilliseconds, milliseconds)
        if (tokens > 0) millisecondsPerToken = average(millisecondsPerToken, milliseconds / tokens)
    }

    /** Returns the expected time of an attempt that generates [tokens], or of any attempt if that is null. */
    fun expected(tokens: Double?): Duration {
        val byTokens = tokens?.times(millisecondsPerToken)?.takeIf { it > 0 && it.isFinite() }
        return (byTokens ?: meanMilliseconds).milliseconds
    }

    private fun average(present: Double, added: Double): Double =
        if (present == 0.0) added else present + SHARE_OF_NEWEST * (added - present)

    private companion object {
        const val SHARE_OF_NEWEST = 0.1
        const val NANOSECONDS_PER_MILLISECOND = 1e6
    }
}
