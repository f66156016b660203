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
    var failures = 0
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
internal class ItemTable(private val registry: UpstreamRegistry) {
    private val items = LinkedHashMap<ItemKey, ItemState>()
    private val runs = HashMap<Long, ItemState>()
    private val waiting = TreeSet(URGENCY)
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
        states.forEach(::enqueue)
    }

    private fun enqueue(state: ItemState) {
        state.queueNumber = nextQueueNumber++
        waiting += state
    }

    fun remove(states: Collection<ItemState>) {
        states.forEach { items.remove(it.work.key) }
        states.forEach { waiting.remove(it) }
    }

    fun clear() {
        items.clear()
        runs.clear()
        waiting.clear()
        registry.releaseAll()
    }

    /** Queues the item of [state] again. It does not start before [notBefore]. */
    fun requeue(state: ItemState, notBefore: Moment?) {
        state.notBefore = notBefore
        enqueue(state)
    }

    /** Starts the waiting items for which [choose] returns an upstream of [view], in order of urgency. */
    fun startWaiting(view: PlacementView, choose: (ItemState) -> TrackedUpstream?): List<DispatchAction.Start> =
        startInOrder(waiting, view, choose)

    /** Starts the waiting items for which [choose] returns an upstream, the least recently started first. */
    fun startInRotation(view: PlacementView, choose: (ItemState) -> TrackedUpstream?): List<DispatchAction.Start> =
        startInOrder(waiting.sortedBy { it.lastStartedAt ?: it.waitingSince ?: view.now }, view, choose)

    private fun startInOrder(
        order: Collection<ItemState>,
        view: PlacementView,
        choose: (ItemState) -> TrackedUpstream?,
    ): List<DispatchAction.Start> {
        val actions = ArrayList<DispatchAction.Start>()
        val started = ArrayList<ItemState>()
        for (state in order) {
            val tracked = choose(state) ?: continue
            actions += start(state, tracked, view.now)
            view.onBegin(tracked)
            started += state
        }
        started.forEach { waiting.remove(it) }
        return actions
    }

    private fun start(state: ItemState, tracked: TrackedUpstream, now: Moment): DispatchAction.Start {
        val run = nextRunNumber++
        tracked.begin(state.work.terms?.model)
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
