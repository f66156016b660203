package org.zinniahoist.model

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Reading of a process's monotonic clock, in nanoseconds since an arbitrary origin.
 *
 * Readings from different processes are not comparable.
 */
@JvmInline
@Serializable
public value class Moment(public val nanoseconds: Long) : Comparable<Moment> {
    /** Returns the moment that is [duration] later. */
    public operator fun plus(duration: Duration): Moment = Moment(nanoseconds + duration.inWholeNanoseconds)

    /** Returns the moment that is [duration] earlier. */
    public operator fun minus(duration: Duration): Moment = Moment(nanoseconds - duration.inWholeNanoseconds)

    /** Returns the time elapsed from [earlier] to this moment. */
    public operator fun minus(earlier: Moment): Duration = (nanoseconds - earlier.nanoseconds).nanoseconds

    override fun compareTo(other: Moment): Int = nanoseconds.compareTo(other.nanoseconds)

    public companion object {
        /** The origin of a simulated clock. */
        public val ZERO: Moment = Moment(0)
    }
}
