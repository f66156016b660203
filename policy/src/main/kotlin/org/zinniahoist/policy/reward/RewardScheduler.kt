package org.zinniahoist.policy.reward

import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.TrackedUpstream
import org.zinniahoist.policy.dispatch.UpstreamRegistry
import org.zinniahoist.policy.routes.Route
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.policy.routes.drawService
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Schedules the reward calls of items whose texts are complete, and repeats calls that are refused or lost.
 *
 * Reward calls share their service with live callers, whose requests this process does not see. They therefore use only
 * a share of the slots of each upstream, and fewer when the service refuses calls, loses them or misses its latency
 * target.
 */
public class RewardScheduler(
    private val registry: UpstreamRegistry,
    private val options: RewardOptions = RewardOptions(),
    private val order: RewardOrder = NearestCompletionRewardOrder,
    private val random: Random = Random.Default,
) {
    private val table = RewardTable(options.avoidanceDuration)
    private val limits = HashMap<ServiceName, AdaptiveConcurrencyLimit>()
    private val latencies = UpstreamLatencies()

    /** The routes in force, or null before the first configuration. Calls in progress are not affected by a change. */
    public var routes: RouteTable? = null

    /** Number of items whose text is complete and that have no call in progress. */
    public val waitingItems: Int get() = table.waiting.size

    /** Number of calls in progress. */
    public val callsInProgress: Int get() = table.calling.size

    /** Returns true if the text of the item with [key] is complete and its score is missing. */
    public operator fun contains(key: ItemKey): Boolean = table.item(key)?.isReady == true

    /** Adds items that will need a score once their texts are complete. Known items are ignored. */
    public fun expect(work: List<RewardWork>): Unit = work.forEach(table::add)

    /** Queues the reward call of the expected item with [key], whose text is complete. */
    public fun onTextComplete(key: ItemKey) {
        val state = table.item(key) ?: return
        if (state.isReady) return
        state.isReady = true
        table.enqueue(state)
    }

    /** Removes the item with [key], which has finished without a text. */
    public fun discard(key: ItemKey) {
        table.item(key)?.let(table::remove)
    }

    /** Removes all items of [job] and aborts their calls. */
    public fun cancelJob(job: String, now: Moment): List<RewardAction.Abort> =
        table.ofJob(job).mapNotNull { remove(it, "job ended", now) }

    /** Removes all items and aborts all calls after this process has lost the leadership. */
    public fun clear(now: Moment): List<RewardAction.Abort> =
        table.all().mapNotNull { remove(it, "leadership lost", now) }

    /** Handles the [end] of [call]: finishes or requeues its item, and starts waiting calls. */
    public fun onEnd(call: Long, end: RewardCallEnd, now: Moment): List<RewardAction> {
        val state = table.itemOfCall(call) ?: return emptyList()
        val ended = release(state) ?: return emptyList()
        observe(ended, end, now)
        val isSent = end !is RewardCallEnd.NotSent && end !is RewardCallEnd.Blocked
        if (isSent) state.avoided.add(ended.upstream.identity, now)
        return listOfNotNull(finishOrRequeue(state, end, now)) + place(now)
    }

    /** Queues the item with [key] again once its latest failed call is recorded, or finishes it after too many. */
    public fun onFailureRecorded(key: ItemKey, now: Moment): List<RewardAction> {
        val state = table.item(key) ?: return emptyList()
        val failedAt = state.failedAt ?: return emptyList()
        state.failedAt = null
        if (isExhausted(state)) return listOf(finish(state, null, FAILED_TOO_OFTEN))
        table.enqueue(state, failedAt + options.refusalBackoff)
        return place(now)
    }

    /** Expires items past their deadline and starts waiting calls. */
    public fun tick(now: Moment): List<RewardAction> {
        val expired = table.withText.filter { now >= it.work.expiresAt }.flatMap { expire(it, now) }
        val exhausted = table.waiting.filter(::isExhausted).map { finish(it, null, FAILED_TOO_OFTEN) }
        return expired + exhausted + place(now)
    }

    /** Starts waiting calls as far as the limits allow. */
    public fun place(now: Moment): List<RewardAction.Call> {
        val actions = ArrayList<RewardAction.Call>()
        val exhausted = HashSet<ServiceName>()
        while (true) {
            val next = table.waiting.filter { isStartable(it, exhausted, now) }.minWithOrNull(order) ?: return actions
            val started = start(next, now)
            if (started == null) exhausted += checkNotNull(next.service) else actions += started
        }
    }

    private fun isStartable(state: RewardState, exhausted: Set<ServiceName>, now: Moment): Boolean {
        if (state.notBefore?.let { now < it } == true || isExhausted(state)) return false
        val service = serviceOf(state) ?: return false
        return service !in exhausted
    }

    /** Returns the service of the next call of [state], or null while no route allows one. */
    private fun serviceOf(state: RewardState): ServiceName? {
        val route = routeOf(state)
        val services = route?.services.orEmpty()
        if (state.service !in services) state.service = route?.takeIf { services.isNotEmpty() }?.drawService(random)
        return state.service
    }

    private fun routeOf(state: RewardState): Route? = routes?.find(state.work.host, state.work.path)

    private fun start(state: RewardState, now: Moment): RewardAction.Call? {
        val service = state.service ?: return null
        val route = routeOf(state) ?: return null
        if (!limitOf(service).permits(inFlight(service))) return null
        val upstream = choose(state, service, now) ?: return null
        upstream.begin(model = null)
        val call = table.begin(state, upstream.listed, route, now)
        return RewardAction.Call(call.number, state.work.key, upstream.listed, state.attempts, timeout(state, route))
    }

    /** Returns the upstream with the lowest expected latency that has a free slot for reward calls, or null. */
    private fun choose(state: RewardState, service: ServiceName, now: Moment): TrackedUpstream? {
        val candidates = registry.candidates(service, now, ::hasFreeSlot)
        return state.avoided.prefer(candidates, now)
            .minByOrNull { latencies.of(it.listed.identity) * (it.inFlight + 1) }
    }

    private fun hasFreeSlot(upstream: TrackedUpstream): Boolean {
        val slots = (upstream.listed.slots * options.slotShare).toInt().coerceAtLeast(1)
        return upstream.inFlight < slots
    }

    private fun limitOf(service: ServiceName) = limits.getOrPut(service) { AdaptiveConcurrencyLimit() }

    private fun inFlight(service: ServiceName): Int = table.calling.count { it.call?.upstream?.service == service }

    /** Doubles with each lost call, so that a slow upstream can respond in the end. */
    private fun timeout(state: RewardState, route: Route): Duration {
        val doublings = state.consecutiveLosses.coerceAtMost(MAXIMUM_DOUBLINGS)
        return minOf(route.target * options.timeoutTargetFactor * (1 shl doublings), route.timeout)
    }

    private fun release(state: RewardState): RewardCall? {
        val call = table.endCall(state) ?: return null
        registry.release(call.upstream.identity, model = null)
        return call
    }

    /** Updates the statistics of the upstream and the limit of its service after the [end] of [call]. */
    private fun observe(call: RewardCall, end: RewardCallEnd, now: Moment) {
        val identity = call.upstream.identity
        val limit = limitOf(call.upstream.service)
        val inFlight = inFlight(call.upstream.service) + 1
        when (end) {
            is RewardCallEnd.Scored, is RewardCallEnd.Failed -> {
                val latency = now - call.startedAt
                latencies.record(identity, latency)
                registry.onSuccess(identity)
                // Upstreams can be slow without being congested, so each of them keeps a call.
                val upstreams = registry.usable(call.upstream.service, now).size
                if (latency <= call.route.target) limit.onTimely() else limit.onCongestion(inFlight, now, upstreams)
            }

            is RewardCallEnd.Refused -> {
                registry.onRefusal(identity, now, refusalBackoff(end))
                limit.onCongestion(inFlight, now)
            }

            is RewardCallEnd.Lost -> {
                registry.onFailure(identity, now)
                limit.onCongestion(inFlight, now)
            }

            is RewardCallEnd.Misdirected -> registry.onAbsence(identity, call.startedAt, now)

            is RewardCallEnd.NotSent, is RewardCallEnd.Blocked -> Unit
        }
    }

    private fun finishOrRequeue(state: RewardState, end: RewardCallEnd, now: Moment): RewardAction? {
        when (end) {
            is RewardCallEnd.Scored -> return finish(state, end.score, "scored")

            is RewardCallEnd.Failed -> {
                state.failures++
                state.consecutiveLosses = 0
                state.failedAt = now
                return RewardAction.RecordFailure(state.work.key, state.failures)
            }

            is RewardCallEnd.Refused -> table.enqueue(state, now + refusalBackoff(end))

            is RewardCallEnd.Lost -> {
                state.consecutiveLosses++
                table.enqueue(state, lossBackoff(state.consecutiveLosses)?.let { now + it })
            }

            is RewardCallEnd.Misdirected, is RewardCallEnd.NotSent ->
                table.enqueue(state, now + options.refusalBackoff)

            is RewardCallEnd.Blocked -> table.enqueue(state, now + options.maximumRefusalBackoff)
        }
        return null
    }

    private fun isExhausted(state: RewardState): Boolean = state.failures >= maximumFailures(state)

    /** The routes of the item and of the call each allow a number of failures; the larger number applies. */
    private fun maximumFailures(state: RewardState): Int =
        maxOf(state.work.maximumFailures, routeOf(state)?.maximumAttempts ?: 0)

    private fun refusalBackoff(end: RewardCallEnd.Refused): Duration =
        (end.retryAfter ?: options.refusalBackoff).coerceIn(options.refusalBackoff, options.maximumRefusalBackoff)

    /** Returns the back-off after [losses] consecutive lost calls, or null after the first one. */
    private fun lossBackoff(losses: Int): Duration? {
        if (losses < 2) return null
        val doublings = (losses - 2).coerceAtMost(MAXIMUM_DOUBLINGS)
        return minOf(options.lossBackoff * (1 shl doublings), options.maximumLossBackoff)
    }

    private fun expire(state: RewardState, now: Moment): List<RewardAction> {
        val abort = remove(state, "item expired", now)
        val finish = RewardAction.Finish(state.work.key, score = null, "waited too long for its score")
        return listOfNotNull(abort, finish)
    }

    private fun finish(state: RewardState, score: String?, reason: String): RewardAction.Finish {
        table.remove(state)
        return RewardAction.Finish(state.work.key, score, reason)
    }

    /** Removes the item of [state], and returns the abort of its call if one is in progress. */
    private fun remove(state: RewardState, reason: String, now: Moment): RewardAction.Abort? {
        val call = release(state)
        table.remove(state)
        // An abort says nothing about the health of the upstream, but a call that took long shows its latency.
        call?.let { latencies.recordAtLeast(it.upstream.identity, now - it.startedAt) }
        return call?.let { RewardAction.Abort(it.number, reason) }
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 6
        const val FAILED_TOO_OFTEN = "reward call failed too often"
    }
}
