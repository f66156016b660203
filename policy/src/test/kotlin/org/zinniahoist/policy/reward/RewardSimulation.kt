package org.zinniahoist.policy.reward

import org.zinniahoist.model.Moment
import org.zinniahoist.policy.reward.RewardFixture.addReady
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates upstreams that serve reward calls and live requests in order of arrival, with a fixed number of slots each,
 * in virtual time.
 *
 * @param callTime time that an upstream works on a reward call.
 */
internal class RewardSimulation(
    private val scheduler: RewardScheduler,
    private val callTime: Duration = 114.milliseconds,
) {
    private val upstreams = (1..3).associate { "u$it" to Upstream() }
    private val finishedAt = HashMap<String, Moment>()
    private val groupOfItem = HashMap<String, String>()
    private var now = RewardFixture.START
    private val live = ArrayList<Request>()

    /** Number of items with a score. */
    val scored: Int get() = finishedAt.size

    /** Longest time from the arrival of a live request to its response. */
    val longestLiveLatency: Duration get() = live.maxOf { checkNotNull(it.endedAt) - it.arrivedAt }

    /** Number of calls in progress at the latest time when items still waited. */
    var callsAtOnceInTheEnd = 0
        private set

    /** Mean time until all items of a group have a score. */
    val meanGroupCompletion: Duration
        get() {
            val times = finishedAt.entries.groupBy({ groupOfItem.getValue(it.key) }, { it.value })
            return times.values.map { it.max() - RewardFixture.START }.reduce(Duration::plus) / times.size
        }

    /** Completes the texts of [groups] times [items] items at once; the items of different groups alternate. */
    fun addGroups(groups: Int, items: Int) {
        for (item in 1..items) {
            for (group in 1..groups) {
                val name = "g$group-$item"
                groupOfItem[name] = "g$group"
                scheduler.addReady(RewardFixture.work(name, group = "g$group"))
            }
        }
    }

    /** Runs until all items have a score, with a live request every 40 ms. */
    fun run() {
        val end = now + LIMIT
        var step = 0
        while (scored < groupOfItem.size && now < end) {
            if (step % STEPS_PER_LIVE_REQUEST == 0) sendLive()
            upstreams.values.forEach { it.advance(now) }
            execute(scheduler.tick(now))
            if (scheduler.waitingItems > 0) callsAtOnceInTheEnd = scheduler.callsInProgress
            now += STEP
            step++
        }
        while (live.any { it.endedAt == null }) {
            now += STEP
            upstreams.values.forEach { it.advance(now) }
        }
    }

    private fun sendLive() {
        val request = Request(now, LIVE_TIME) {}
        live += request
        // Entries do not see reward calls, so their choice does not depend on them.
        upstreams.values.elementAt(live.size % upstreams.size).add(request)
    }

    private fun execute(actions: List<RewardAction>) {
        for (action in actions) {
            if (action !is RewardAction.Call) continue
            val request = Request(now, callTime) { onCallEnd(action) }
            upstreams.getValue(action.upstream.identity.value).add(request)
        }
    }

    private fun onCallEnd(action: RewardAction.Call) {
        finishedAt[action.key.item.value] = now
        execute(scheduler.onEnd(action.call, RewardCallEnd.Scored("score"), now))
    }

    private class Request(
        val arrivedAt: Moment,
        val work: Duration,
        val onEnd: () -> Unit,
    ) {
        var startedAt: Moment? = null
        var endedAt: Moment? = null
    }

    private class Upstream {
        private val queue = ArrayDeque<Request>()
        private val running = ArrayList<Request>()

        fun add(request: Request) {
            queue += request
        }

        fun advance(now: Moment) {
            val ended = running.filter { now - checkNotNull(it.startedAt) >= it.work }
            running -= ended.toSet()
            ended.forEach { it.endedAt = now }
            while (queue.isNotEmpty() && running.size < RewardFixture.SLOTS) {
                running += queue.removeFirst().also { it.startedAt = now }
            }
            ended.forEach { it.onEnd() }
        }
    }

    private companion object {
        val STEP = 2.milliseconds
        const val STEPS_PER_LIVE_REQUEST = 20
        val LIVE_TIME = 36.milliseconds
        val LIMIT = 60.seconds
    }
}
