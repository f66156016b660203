package org.zinniahoist.policy.reward

import org.zinniahoist.model.Moment

/** An item whose text is complete and that waits for its reward call. */
public interface WaitingReward {
    /** When the results of the job are due. */
    public val dueAt: Moment

    /** Number of items of the group that have neither a score nor a call in progress, including this one. */
    public val uncalledInGroup: Int

    /** Position among all waiting items in order of arrival. */
    public val queueNumber: Long
}

/** Order in which waiting items are called. The smallest item is called first. */
public interface RewardOrder : Comparator<WaitingReward>

/** Baseline order: first come, first served. */
public object ArrivalRewardOrder : RewardOrder {
    override fun compare(one: WaitingReward, other: WaitingReward): Int = one.queueNumber.compareTo(other.queueNumber)
}

/**
 * Calls the items of the most urgent job first, and within a job those of the groups with the fewest items to
 * call, because an incomplete group is worth nothing to its trainer.
 */
public object NearestCompletionRewardOrder : RewardOrder {
    private val comparator = compareBy<WaitingReward>({ it.dueAt }, { it.uncalledInGroup }, { it.queueNumber })

    override fun compare(one: WaitingReward, other: WaitingReward): Int = comparator.compare(one, other)
}
