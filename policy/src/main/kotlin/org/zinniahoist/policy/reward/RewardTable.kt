package org.zinniahoist.policy.reward

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.dispatch.AvoidedUpstreams
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.routes.Route
import kotlin.time.Duration

/** A reward call in progress. */
internal class RewardCall(
    val number: Long,
    val upstream: ListedUpstream,
    val route: Route,
    val startedAt: Moment,
)

/** Items of one group of a job. */
internal class RewardGroup {
    /** Number of items without a score. */
    var items = 0

    /** Number of items that have neither a score nor a call in progress. */
    var uncalled = 0
}

/** State of an item that needs a score. Its text is incomplete until [isReady]. */
internal class RewardState(
    val work: RewardWork,
    val avoided: AvoidedUpstreams,
    val group: RewardGroup,
) : WaitingReward {
    var isReady = false
    var call: RewardCall? = null
    var service: ServiceName? = null
    var notBefore: Moment? = null
    var attempts = 0
    var failures = work.failures

    /** Time of the latest failed call while it is being recorded, until which the item does not wait for a call. */
    var failedAt: Moment? = null
    var consecutiveLosses = 0

    override var queueNumber = 0L
    override val dueAt: Moment get() = work.dueAt
    override val uncalledInGroup: Int get() = group.uncalled
}

/** Holds the items without a score, those of them that wait for a call, and the calls in progress. */
internal class RewardTable(private val avoidanceDuration: Duration) {
    private val states = LinkedHashMap<ItemKey, RewardState>()
    private val groups = HashMap<Pair<String, String>, RewardGroup>()
    private val calls = HashMap<Long, RewardState>()
    private val ready = LinkedHashSet<RewardState>()
    private var nextCallNumber = 1L
    private var nextQueueNumber = 1L

    /** Items whose text is complete and that have no call in progress. */
    val waiting: Collection<RewardState> get() = ready

    /** Items with a call in progress. */
    val calling: Collection<RewardState> get() = calls.values

    /** All items whose text is complete. */
    val withText: Collection<RewardState> get() = states.values.filter { it.isReady }

    fun item(key: ItemKey): RewardState? = states[key]

    fun itemOfCall(call: Long): RewardState? = calls[call]

    /** Adds an item whose text is not complete yet; a known item is ignored. */
    fun add(work: RewardWork) {
        if (work.key in states) return
        // An item without a group counts as a group of its own.
        val group = work.group?.let { groups.getOrPut(work.key.job to it) { RewardGroup() } } ?: RewardGroup()
        group.items++
        group.uncalled++
        states[work.key] = RewardState(work, AvoidedUpstreams(avoidanceDuration), group)
    }

    /** Queues the item of [state], which does not start before [notBefore]. */
    fun enqueue(state: RewardState, notBefore: Moment? = null) {
        state.notBefore = notBefore
        state.queueNumber = nextQueueNumber++
        ready += state
    }

    fun begin(
        state: RewardState,
        upstream: ListedUpstream,
        route: Route,
        now: Moment,
    ): RewardCall {
        val call = RewardCall(nextCallNumber++, upstream, route, startedAt = now)
        ready -= state
        state.call = call
        state.group.uncalled--
        state.attempts++
        calls[call.number] = state
        return call
    }

    /** Removes the call of [state] and returns it, or null if none is in progress. */
    fun endCall(state: RewardState): RewardCall? {
        val call = state.call ?: return null
        calls.remove(call.number)
        state.call = null
        state.group.uncalled++
        return call
    }

    /** Removes the item of [state], whose call has ended. */
    fun remove(state: RewardState) {
        if (states.remove(state.work.key) == null) return
        ready -= state
        state.group.uncalled--
        state.group.items--
        if (state.group.items == 0) state.work.group?.let { groups.remove(state.work.key.job to it) }
    }

    /** Returns all items of [job]. */
    fun ofJob(job: String): List<RewardState> = states.values.filter { it.work.key.job == job }

    fun all(): List<RewardState> = states.values.toList()
}
