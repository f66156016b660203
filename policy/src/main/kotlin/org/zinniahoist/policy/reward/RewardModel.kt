package org.zinniahoist.policy.reward

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.ItemKey
import kotlin.time.Duration

/** An item whose text has to be scored by a reward call once it is complete. */
public data class RewardWork(
    public val key: ItemKey,
    /** Host that selects the route of the reward call, together with [path]. */
    public val host: String,
    public val path: String,
    /** Group of the item, or null. A group is useful to its trainer only once all its items have a score. */
    public val group: String?,
    /** When the results of the job are due. */
    public val dueAt: Moment,
    /** Deadline after which the item finishes without a score. */
    public val expiresAt: Moment,
    /** Number of [RewardCallEnd.Failed] calls after which the item finishes without a score. */
    public val maximumFailures: Int,
    /** Number of [RewardCallEnd.Failed] calls that the item had before. */
    public val failures: Int = 0,
)

/** Outcome of a reward call. */
public sealed interface RewardCallEnd {
    /** The upstream scored the text. */
    public data class Scored(public val score: String) : RewardCallEnd

    /** The upstream ran the call and reported an error. */
    public data object Failed : RewardCallEnd

    /** The upstream refused the call, and asks for a pause of [retryAfter] if that is not null. */
    public data class Refused(public val retryAfter: Duration? = null) : RewardCallEnd

    /** A different upstream, which now has the address of the intended one, received the call and rejected it. */
    public data object Misdirected : RewardCallEnd

    /** The request was not sent, so the outcome says nothing about the upstream. */
    public data object NotSent : RewardCallEnd

    /** The request was not sent, because upstreams crashed at earlier calls. */
    public data object Blocked : RewardCallEnd

    /** No valid response arrived, so the upstream may have run the call. */
    public data class Lost(public val reason: String) : RewardCallEnd
}

/** Action that the caller of a [RewardScheduler] executes on its behalf. */
public sealed interface RewardAction {
    /** Sends the reward request of [key] to [upstream], which has [timeout] to respond. */
    public data class Call(
        public val call: Long,
        public val key: ItemKey,
        public val upstream: ListedUpstream,
        /** Number of this call among those of the item, starting at 1. */
        public val attempt: Int,
        public val timeout: Duration,
    ) : RewardAction

    /** Aborts a call and closes its connection. */
    public data class Abort(
        public val call: Long,
        public val reason: String,
    ) : RewardAction

    /** Records that the item has had [failures] failed calls; [RewardScheduler.onFailureRecorded] continues it. */
    public data class RecordFailure(
        public val key: ItemKey,
        public val failures: Int,
    ) : RewardAction

    /** Finishes the item with [score], or with an error if that is null. */
    public data class Finish(
        public val key: ItemKey,
        public val score: String?,
        public val reason: String,
    ) : RewardAction
}
