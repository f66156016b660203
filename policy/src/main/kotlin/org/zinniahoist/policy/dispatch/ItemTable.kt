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
    /** Silence is measured from here. */
    var lastProgress: Moment,
) {
    /** When the bytes of the latest event arrived, which may be long before it was handled. */
    var lastArrival = startedAt
    var events = 0
    var version: WeightVersion? = null
}

/** An item without a result, and its run if it has one. */
internal class ItemState(
    val work: ItemWork,
    val avoided: AvoidedUpstreams,
) {
    val need = PlacementNeed(work)
    var text = work.text
    var run: RunState? = null
    var notBefore: Moment? = null

    /** Place among items of the same urgency, given each time that the item begins to wait. */
    var waitNumber = 0L

    /** First tick that found the item waiting after its submission or its last event. */
    var waitingSince: Moment? = null
    var lastStartedAt: Moment? = null
    var failures = 0
    var fruitlessRuns = 0
    var runs = 0
    var moves = 0
    var restart = false
}

/** Returns what became of an item that has no result in time. */
internal fun ItemState.lateItem(): LateItem = LateItem(
    key = work.key,
    upstream = run?.upstream?.value,
    events = text.events.size,
    runs = runs,
    moves = moves,
    failures = failures,
    fruitlessRuns = fruitlessRuns,
)

/** Keeps the items without a result, those among them that wait, and the runs of the others. */
internal class ItemTable(private val board: UpstreamBoard) {
    private val items = LinkedHashMap<ItemKey, ItemState>()
    private val runs = HashMap<Long, ItemState>()
    private val waiting = TreeSet(URGENCY)
    private var nextRun = 1L
    private var nextWait = 1L

    /** All items, in the order of their submission. */
    val all: Collection<ItemState> get() = items.values

    /** Items that wait, the most urgent first. */
    val waitingItems: Collection<ItemState> get() = waiting

    /** Items that run. */
    val runningItems: Collection<ItemState> get() = runs.values

    val runNumbers: Set<Long> get() = runs.keys

    fun item(key: ItemKey): ItemState? = items[key]

    fun ofRun(run: Long): ItemState? = runs[run]

    /** Adds items that are not known yet. */
    fun add(states: List<ItemState>) {
        states.forEach { items[it.work.key] = it }
        states.forEach(::enqueue)
    }

    private fun enqueue(state: ItemState) {
        state.waitNumber = nextWait++
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
        board.releaseAll()
    }

    /** Lets the item of [state] wait again, until [notBefore] at least. */
    fun requeue(state: ItemState, notBefore: Moment?) {
        state.notBefore = notBefore
        enqueue(state)
    }

    /** Starts the waiting items for which [choose] returns an upstream of [view], the most urgent first. */
    fun startWaiting(view: PlacementView, choose: (ItemState) -> UpstreamCard?): List<DispatchAction.Start> =
        startIn(waiting, view, choose)

    /** Starts the waiting items for which [choose] returns an upstream, those first that started longest ago. */
    fun startInTurn(view: PlacementView, choose: (ItemState) -> UpstreamCard?): List<DispatchAction.Start> =
        startIn(waiting.sortedBy { it.lastStartedAt ?: it.waitingSince ?: view.now }, view, choose)

    private fun startIn(
        order: Collection<ItemState>,
        view: PlacementView,
        choose: (ItemState) -> UpstreamCard?,
    ): List<DispatchAction.Start> {
        val actions = ArrayList<DispatchAction.Start>()
        val started = ArrayList<ItemState>()
        for (state in order) {
            val card = choose(state) ?: continue
            actions += start(state, card, view.now)
            view.onBegin(card)
            started += state
        }
        started.forEach { waiting.remove(it) }
        return actions
    }

    private fun start(state: ItemState, card: UpstreamCard, now: Moment): DispatchAction.Start {
        val run = nextRun++
        card.begin(state.work.terms?.model)
        state.restart = false
        state.lastStartedAt = now
        state.runs++
        state.run = RunState(run, card.listed.identity, startedAt = now, lastProgress = now)
        runs[run] = state
        return DispatchAction.Start(run, state.work.key, card.listed, state.text.lastNumber)
    }

    /** Frees the place of [run] and returns its number. */
    fun release(run: RunState): Long {
        val state = runs.remove(run.number)
        state?.run = null
        board.release(run.upstream, state?.work?.terms?.model)
        return run.number
    }

    private companion object {
        val URGENCY: Comparator<ItemState> = Comparator<ItemState> { one, other ->
            one.work.dueAt.compareTo(other.work.dueAt)
        }
            .thenComparing { one, other -> other.work.isCarriedOver.compareTo(one.work.isCarriedOver) }
            .thenComparing { one, other -> other.work.expectedTokens.compareTo(one.work.expectedTokens) }
            .thenComparing { one, other -> one.waitNumber.compareTo(other.waitNumber) }
    }
}
