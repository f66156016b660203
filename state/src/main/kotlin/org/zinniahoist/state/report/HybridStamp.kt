package org.zinniahoist.state.report

import kotlinx.serialization.Serializable

/**
 * A stamp of a hybrid logical clock: wall time in milliseconds since the epoch and a counter.
 *
 * An event has a larger stamp than all events that its process had recorded or heard of before.
 */
@Serializable
public data class HybridStamp(
    public val milliseconds: Long,
    public val counter: Int = 0,
) : Comparable<HybridStamp> {
    override fun compareTo(other: HybridStamp): Int =
        compareValuesBy(this, other, HybridStamp::milliseconds, HybridStamp::counter)

    override fun toString(): String = "$milliseconds.$counter"
}
