package org.zinniahoist.consensus

import org.zinniahoist.model.Moment

/** The clocks that a [GroupHost] reads. */
public interface GroupClock {
    /** Returns the present time of the monotonic clock. */
    public fun now(): Moment

    /** Returns the wall time in milliseconds since the epoch. */
    public fun wallMilliseconds(): Long

    public companion object {
        /** The clocks of this process. */
        public val SYSTEM: GroupClock =
            object : GroupClock {
                override fun now(): Moment = Moment(System.nanoTime())

                override fun wallMilliseconds(): Long = System.currentTimeMillis()
            }
    }
}
