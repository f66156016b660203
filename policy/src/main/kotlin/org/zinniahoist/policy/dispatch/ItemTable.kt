package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import java.util.TreeSet

/** A run in progress. */
internal class RunState(
    val number: Long,
    val upstream: UpstreamIdentity,
    val startedAt: Moment,
    /** Start of the current period without events, from which the stall timeout is measured. */
    var lastProgress: Moment,
    val tokens: RunTokens,
) {
    /** Arrival time of the bytes of the latest event, which may be handled much later. */
    var lastArrival = startedAt
    var events = 0
    var version: WeightVersion? = null
}

/** Scheduling state of an unfinished item and its current run, if any. */
internal class ItemState(
    val work: ItemWork,
    val avoided: AvoidedUpstreams,
) {
    val constraints = PlacementConstraints(work)
    var text = work.text

    /** Expected number of tokens that a run holds in the memory of its upstream. */
    val heldTokens: Int get() = work.promptTokens + maxOf(work.expectedOutput, text.events.size)
    var run: RunState? = null
    var notBefore: Moment? = null

    /** Queue position among items of equal urgency, assigned each time the item is queued. */
    var queueNumber = 0L

    /** Time of the first tick that found the item waiting since its submission or its last event. */
    var waitingSince: Moment? = null
    var lastStartedAt: Moment? = null
    var failures = work.failures

    /** Time of the latest failed run while it is being recorded, until which the item neither waits nor runs. */
    var failedAt: Moment? = null
    var consecutiveEmptyRuns = 0
    var runs = 0
    var moves = 0
    var mustRestart = false
}

/** Returns the run statistics of an item that is overdue. */
internal fun ItemState.lateItem(): OverdueItem = OverdueItem(
    key = work.key,
    upstream = run?.upstream?.value,
    events = text.events.size,
    runs = runs,
    moves = moves,
    failures = failures,
    consecutiveEmptyRuns = consecutiveEmptyRuns,
)

/** Holds the unfinished items, the queue of the waiting ones and the runs in progress. */
internal class ItemTable(
    private val registry: UpstreamRegistry,
    val order: ItemOrder = DueTimeOrder,
) {
    private val items = LinkedHashMap<ItemKey, ItemState>()
    private val runs = HashMap<Long, ItemState>()
    private val waiting = TreeSet(URGENCY)

    /** Number of waiting items by their constraints, which are far fewer than the items. */
    private val waitingByConstraints = HashMap<PlacementConstraints, Int>()
    private var nextRunNumber = 1L
    private var nextQueueNumber = 1L

    /** All unfinished items in order of submission. */
    val all: Collection<ItemState> get() = items.values

    /** Waiting items, the most urgent first. */
    val waitingItems: Collection<ItemState> get() = waiting

    /** Items with a run in progress. */
    val runningItems: Collection<ItemState> get() = runs.values

    val runNumbers: Set<Long> get() = runs.keys

    fun item(key: ItemKey): ItemState? = items[key]

    fun itemOfRun(run: Long): ItemState? = runs[run]

    /** Adds and queues items whose keys are not in the table. */
    fun add(states: List<ItemState>) {
        states.forEach { items[it.work.key] = it }
        states.forEach { order.onSubmit(it.work) }
        states.forEach(::enqueue)
    }

    private fun enqueue(state: ItemState) {
        state.queueNumber = nextQueueNumber++
        waiting += state
        waitingByConstraints.merge(state.constraints, 1, Int::plus)
    }

    private fun dequeue(state: ItemState) {
        if (!waiting.remove(state)) return
        waitingByConstraints.computeIfPresent(state.constraints) { _, items -> (items - 1).takeIf { it > 0 } }
    }

    /** Removes the items of [states]. They are given up if [areGivenUp]. */
    fun remove(states: Collection<ItemState>, areGivenUp: Boolean = false) {
        states.filter { items.remove(it.work.key) != null }.forEach { order.onRemove(it.work, areGivenUp) }
        states.forEach(::dequeue)
    }

    fun clear() {
        items.clear()
        runs.clear()
        waiting.clear()
        waitingByConstraints.clear()
        order.clear()
        registry.releaseAll()
    }

    /** Queues the item of [state] again. It does not start before [notBefore]. */
    fun requeue(state: ItemState, notBefore: Moment?) {
        state.notBefore = notBefore
        enqueue(state)
    }

    /** Starts the waiting items for which [choose] returns an upstream of [view], in the given [order]. */
    fun startWaiting(view: PlacementView, choose: (ItemState) -> TrackedUpstream?): List<DispatchAction.Start> =
        Visit(view, choose).also { order.visit(waiting, view.now, it) }.end()

    /** Starts the waiting items for which [choose] returns an upstream, the least recently started first. */
    fun startInRotation(view: PlacementView, choose: (ItemState) -> TrackedUpstream?): List<DispatchAction.Start> =
        Visit(view, choose)
            .also { visit ->
                waiting.sortedBy { it.lastStartedAt ?: it.waitingSince ?: view.now }.forEach(visit::tryStart)
            }
            .end()

    /** Starts items on the upstreams that [choose] returns. */
    private inner class Visit(
        private val view: PlacementView,
        private val choose: (ItemState) -> TrackedUpstream?,
    ) : ItemVisit {
        private val actions = ArrayList<DispatchAction.Start>()
        private val started = ArrayList<ItemState>()

        override fun tryStart(state: ItemState): Boolean {
            val tracked = choose(state) ?: return false
            actions += start(state, tracked, view.now)
            view.onBegin(tracked)
            started += state
            return true
        }

        override fun mayStartAny(): Boolean = waitingByConstraints.keys.any { view.ready(it).isNotEmpty() }

        /** Removes the started items from the queue, which can't change while it is visited. */
        fun end(): List<DispatchAction.Start> {
            started.forEach(::dequeue)
            return actions
        }
    }

    private fun start(state: ItemState, tracked: TrackedUpstream, now: Moment): DispatchAction.Start {
        val run = nextRunNumber++
        tracked.begin(state.work.terms?.model)
        order.onStart(state.work)
        state.mustRestart = false
        state.lastStartedAt = now
        state.runs++
        val tokens = RunTokens(tracked.load, state.work, state.text.events.size)
        state.run = RunState(run, tracked.listed.identity, startedAt = now, lastProgress = now, tokens)
        runs[run] = state
        return DispatchAction.Start(run, state.work.key, tracked.listed, state.text.lastNumber)
    }

    /** Frees the slot of [run] and returns the number of the run. */
    fun release(run: RunState): Long {
        val state = runs.remove(run.number)
        state?.run = null
        state?.let { order.onRelease(it.work) }
        run.tokens.end()
        registry.release(run.upstream, state?.work?.terms?.model)
        return run.number
    }

    private companion object {
        val URGENCY: Comparator<ItemState> = Comparator<ItemState> { one, other ->
            one.work.dueAt.compareTo(other.work.dueAt)
        }
            .thenComparing { one, other -> other.work.isCarriedOver.compareTo(one.work.isCarriedOver) }
            .thenComparing { one, other -> other.work.expectedTokens.compareTo(one.work.expectedTokens) }
            .thenComparing { one, other -> one.queueNumber.compareTo(other.queueNumber) }
    }
}
