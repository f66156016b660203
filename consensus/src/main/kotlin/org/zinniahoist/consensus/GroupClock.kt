package org.zinniahoist.consensus

import org.zinniahoist.model.Moment

/** Monotonic and wall clock of a [GroupHost]. */
public interface GroupClock {
    /** Returns the current time of the monotonic clock. */
    public fun now(): Moment

    /** Returns the wall time in milliseconds since the epoch. */
    public fun wallMilliseconds(): Long

    public companion object {
        /** The system clocks. */
        public val SYSTEM: GroupClock =
            object : GroupClock {
                override fun now(): Moment = Moment(System.nanoTime())

                override fun wallMilliseconds(): Long = System.currentTimeMillis()
            }
    }
}
