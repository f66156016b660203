package org.zinniahoist.policy.duty

import org.zinniahoist.model.Moment
import kotlin.math.abs
import kotlin.time.Duration.Companion.seconds

/**
 * Wall time that follows the monotonic clock, so that a jump of the machine's wall clock does not shift it.
 *
 * A difference between both clocks of more than [TOLERATED_DIFFERENCE] is adopted once it has lasted for
 * [ADOPTION_DELAY]. [at] may be called from any thread; [observe] must be called from one thread at a time.
 *
 * @param start reading of the monotonic clock at which the wall clock showed [wallMilliseconds].
 */
public class SteadyWallClock(
    start: Moment,
    wallMilliseconds: Long,
) {
    @Volatile
    private var offsetMilliseconds = wallMilliseconds - millisecondsOf(start)
    private var deviation: Deviation? = null

    /** Returns the wall time at [moment], in milliseconds since the start of 1970. */
    public fun at(moment: Moment): Long = offsetMilliseconds + millisecondsOf(moment)

    /** Compares with the machine's wall clock, which shows [wallMilliseconds] at [now]. Must be called regularly. */
    public fun observe(now: Moment, wallMilliseconds: Long) {
        val difference = wallMilliseconds - at(now)
        val known = deviation
        when {
            abs(difference) <= TOLERATED_DIFFERENCE -> deviation = null

            known == null || abs(difference - known.milliseconds) > TOLERATED_DIFFERENCE ->
                deviation = Deviation(difference, now)

            now - known.since >= ADOPTION_DELAY -> {
                offsetMilliseconds += difference
                deviation = null
            }
        }
    }

    private class Deviation(
        val milliseconds: Long,
        val since: Moment,
    )

    private companion object {
        const val TOLERATED_DIFFERENCE = 500L

        /** Clocks of single machines jump by seconds and return within some seconds. */
        val ADOPTION_DELAY = 10.seconds
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

        fun millisecondsOf(moment: Moment): Long = moment.nanoseconds.floorDiv(NANOSECONDS_PER_MILLISECOND)
    }
}
