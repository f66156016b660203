package org.zinniahoist.state.report

import kotlinx.serialization.Serializable

/**
 * A timestamp of a hybrid logical clock: wall time in milliseconds since the epoch and a counter.
 *
 * The timestamp of an event is larger than those of all events that its process recorded or received before.
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
