package org.zinniahoist.state.service

import kotlinx.serialization.Serializable
import org.zinniahoist.model.RequestIdentifier

/** Numbers of failed runs of an item in its job. They only grow. */
@Serializable
public data class ItemFailures(
    public val item: RequestIdentifier,
    /** Number of runs that the upstream ended with an error. */
    public val runs: Int = 0,
    /** Number of reward calls that the upstream ended with an error. */
    public val rewardCalls: Int = 0,
) {
    /** Returns true if these include the failures that [other] counts. */
    public fun includes(other: ItemFailures): Boolean = runs >= other.runs && rewardCalls >= other.rewardCalls

    /** Returns the larger numbers of both. */
    internal fun max(other: ItemFailures): ItemFailures =
        ItemFailures(item, maxOf(runs, other.runs), maxOf(rewardCalls, other.rewardCalls))
}
