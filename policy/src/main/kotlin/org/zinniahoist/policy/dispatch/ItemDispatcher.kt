package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Decides which item runs on which upstream, and what becomes of broken runs.
 *
 * Items of the job that is due first go first; in a job, those that an earlier job already held, then the longest
 * ones. Text that was received is kept, and another run goes on after it.
 */
public class ItemDispatcher(
    public val board: UpstreamBoard = UpstreamBoard(),
    private val options: DispatchOptions = DispatchOptions(),
    private val random: Random = Random.Default,
) {
    private val table = ItemTable(board)
    private val placement = ItemPlacement(board, options)

    /** Items that wait for a place. */
    public val waitingItems: Int get() = table.waitingItems.size

    /** Runs in progress. */
    public val runningItems: Int get() = table.runningItems.size

    /** Characters of the texts of all items that are not finished. */
    public val textCharacters: Long get() = table.all.sumOf { state -> state.text.events.sumOf { it.length.toLong() } }

    /** True while [key] waits or runs. */
    public operator fun contains(key: ItemKey): Boolean = table.item(key) != null

    /** Returns the open items of [model] at [now]. */
    public fun workOf(model: ModelName, now: Moment): ModelWork {
        val states = table.all.filter { it.work.terms?.model == model }
        val waiting = states.filter { it.run == null }
        return ModelWork(
            running = states.size - waiting.size,
            waiting = waiting.size,
            tokens = states.sumOf { it.work.expectedTokens.toLong() },
            oldestWait = waiting.maxOfOrNull { now - (it.waitingSince ?: now) } ?: Duration.ZERO,
        )
    }

    /** Returns the texts of all items without a result that have at least [least] events. */
    public fun texts(least: Int): Map<ItemKey, ItemText> =
        table.all.filter { it.text.events.size >= least }.associate { it.work.key to it.text }

    /** Returns the jobs that are due at [now] and have items without a result. */
    public fun lateJobs(now: Moment): List<LateJob> = table.all
        .filter { now >= it.work.dueAt }
        .groupBy { it.work.key.job }
        .map { (job, states) ->
            val running = states.count { it.run != null }
            LateJob(job, running, states.size - running, states.minBy { it.text.events.size }.lateItem())
        }

    /** Returns why the item with [key] is not running at [now], or null if it runs or is not known. */
    public fun waitReport(key: ItemKey, now: Moment): WaitReport? =
        table.item(key)?.takeIf { it.run == null }?.let { placement.report(it, now) }

    /** Returns the time for which the item that has waited longest waits at [now], or zero if none waits. */
    public fun longestWait(now: Moment): Duration =
        table.waitingItems.maxOfOrNull { now - (it.waitingSince ?: now) } ?: Duration.ZERO

    /** Returns the report of the item that has waited longest at [now], or null if none waits. */
    public fun oldestWaiting(now: Moment): WaitReport? =
        table.waitingItems.minByOrNull { it.waitingSince ?: now }?.let { placement.report(it, now) }

    /** Adds items; those that are known already are left as they are. */
    public fun submit(work: List<ItemWork>) {
        val added = work.filter { table.item(it.key) == null }.distinctBy { it.key }.map { item ->
            val fitting = if (item.text.fits(item.terms)) item else item.copy(text = ItemText())
            ItemState(fitting, AvoidedUpstreams(options.avoidance))
        }
        table.add(added)
    }

    /** Forgets all items of [job] and ends their runs. Returns the text of those that were not finished. */
    public fun cancelJob(job: String): CancelledJob {
        val cancelled = table.all.filter { it.work.key.job == job }
        val aborts = cancelled.mapNotNull { state -> state.run?.let(table::release) }
        table.remove(cancelled)
        val texts = cancelled.filter { it.text.events.isNotEmpty() }.associate { it.work.key.item to it.text }
        return CancelledJob(aborts.map { DispatchAction.Abort(it, "job ended") }, texts)
    }

    /** Ends everything, because this process no longer decides. */
    public fun clear(): List<DispatchAction.Abort> {
        val aborts = table.runNumbers.map { DispatchAction.Abort(it, "leadership lost") }
        table.clear()
        return aborts
    }

    /** The answer of [run] began. Returns an abort if its weights are too old for the item. */
    public fun onBegin(run: Long, version: WeightVersion?, now: Moment): List<DispatchAction> {
        val state = table.ofRun(run) ?: return emptyList()
        val current = state.run ?: return emptyList()
        current.version = version
        current.lastProgress = now
        val terms = state.work.terms ?: return emptyList()
        if (version == null) return breakOff(state, "no version stated", now)
        board.card(current.upstream)?.observeVersion(terms.model, version)
        if (version < terms.minimumVersion) return breakOff(state, "weights too old", now, isUpstreamFault = false)
        if (!state.text.plusVersion(version).fits(terms)) state.text = ItemText().also { state.restart = true }
        return if (state.restart) breakOff(state, "weights changed", now, isUpstreamFault = false) else emptyList()
    }

    /** The request of [run] was written at [now]; until then its upstream could not answer. */
    public fun onSent(run: Long, now: Moment) {
        val current = table.ofRun(run)?.run ?: return
        current.lastProgress = maxOf(current.lastProgress, now)
    }

    /** This process handled nothing for [delay], which ended at [until]: no run counts as silent for this time. */
    public fun onDelay(delay: Duration, until: Moment) {
        for (run in table.runningItems.mapNotNull { it.run }) {
            val excused = minOf(run.lastProgress + delay, until)
            run.lastProgress = maxOf(run.lastProgress, excused)
        }
    }

    /**
     * An event of [run], whose bytes arrived at [arrivedAt], is handled at [now]. [version] is set where the weights
     * changed.
     */
    public fun onEvent(
        run: Long,
        number: Long,
        data: String,
        version: WeightVersion?,
        now: Moment,
        arrivedAt: Moment = now,
    ): List<DispatchAction> {
        val state = table.ofRun(run) ?: return emptyList()
        val current = state.run ?: return emptyList()
        val expected = state.text.lastNumber?.plus(1)
        if (expected != null && number != expected) return breakOff(state, "event $number is not $expected", now)
        if (version != null) current.version = version
        if (current.events > 0) board.onPace(current.upstream, arrivedAt - current.lastArrival)
        current.events++
        current.lastArrival = arrivedAt
        current.lastProgress = now
        state.fruitlessRuns = 0
        state.waitingSince = null
        board.onSuccess(current.upstream)
        val text = if (state.text.identifier == null) state.text.copy(identifier = random.nextLong()) else state.text
        val longer = text.plus(number, data, current.version)
        if (longer.fits(state.work.terms)) {
            state.text = longer
            return emptyList()
        }
        state.text = ItemText()
        return breakOff(state, "weights changed in a sample", now, isUpstreamFault = false)
    }

    /** The [run] ended. */
    public fun onEnd(run: Long, end: RunEnd, now: Moment): List<DispatchAction> {
        val state = table.ofRun(run) ?: return emptyList()
        val current = state.run ?: return emptyList()
        table.release(current)
        return when (end) {
            is RunEnd.Completed -> complete(state, current, now)
            is RunEnd.Impossible -> finish(state, isCompleted = false, "impossible")
            is RunEnd.Failed -> fail(state, current, now)
            is RunEnd.NotRun -> emptyList<DispatchAction>().also { retryRefused(state, current, now) }
            is RunEnd.Misdirected -> emptyList<DispatchAction>().also { retryMisdirected(state, current, now) }
            is RunEnd.NotSent -> emptyList<DispatchAction>().also { table.requeue(state, now + options.refusalPause) }
            is RunEnd.Broken -> emptyList<DispatchAction>().also { onBroken(state, current, end, now) }
        }
    }

    /**
     * Gives up what is too old, moves what has stalled, starts what can be started. All that arrived before [readUntil]
     * was handled.
     */
    public fun tick(now: Moment, readUntil: Moment = now): List<DispatchAction> {
        val actions = ArrayList<DispatchAction>()
        for (state in table.all.filter { now >= it.work.giveUpAt }) actions += giveUp(state)
        val view = PlacementView(board, now)
        for (state in table.runningItems.toList()) {
            if (placement.isToMove(state, waitingItems > 0, view, readUntil)) {
                actions += breakOff(state, "stalled", now)
            }
        }
        return actions + place(now)
    }

    /** Starts what can be started. It costs less than [tick], and is enough where places came free. */
    public fun place(now: Moment): List<DispatchAction> {
        if (table.waitingItems.isEmpty()) return emptyList()
        table.waitingItems.forEach { if (it.waitingSince == null) it.waitingSince = now }
        val view = PlacementView(board, now)
        val actions = table.startWaiting(view) { placement.choose(it, view) }
        if (!board.hasProbes(now)) return actions
        // An item that crashes upstreams is often the most urgent one and would take each probe.
        return actions + table.startInTurn(view) { placement.chooseProbe(it, view) }
    }

    private fun breakOff(
        state: ItemState,
        reason: String,
        now: Moment,
        isUpstreamFault: Boolean = true,
    ): List<DispatchAction> {
        val current = state.run ?: return emptyList()
        table.release(current)
        state.moves++
        if (isUpstreamFault) retryBroken(state, current, now) else table.requeue(state, now + options.refusalPause)
        return listOf(DispatchAction.Abort(current.number, reason))
    }

    private fun retryRefused(state: ItemState, run: RunState, now: Moment) {
        board.onRefusal(run.upstream, now, options.refusalPause)
        retryElsewhere(state, run, now)
    }

    private fun retryMisdirected(state: ItemState, run: RunState, now: Moment) {
        board.onAbsence(run.upstream, run.startedAt, now)
        state.avoided.add(run.upstream, now)
        table.requeue(state, notBefore = null)
    }

    private fun onBroken(
        state: ItemState,
        run: RunState,
        end: RunEnd.Broken,
        now: Moment,
    ) {
        if (!end.isTextSound) {
            state.text = ItemText()
            board.onFailure(run.upstream, now)
        }
        retryBroken(state, run, now)
    }

    private fun retryBroken(state: ItemState, run: RunState, now: Moment) {
        if (run.events == 0) {
            state.fruitlessRuns++
            board.onFailure(run.upstream, now)
        }
        state.avoided.add(run.upstream, now)
        table.requeue(state, suspicionPause(state.fruitlessRuns)?.let { now + it })
    }

    /** Returns the pause after [fruitlessRuns] in a row, or null if the item is not suspected. */
    private fun suspicionPause(fruitlessRuns: Int): Duration? {
        val doublings = fruitlessRuns - options.suspicionLimit
        if (doublings < 0) return null
        val pause = options.suspicionPause * (1 shl doublings.coerceAtMost(MAXIMUM_DOUBLINGS))
        return minOf(pause, options.longestSuspicionPause)
    }

    private fun retryElsewhere(state: ItemState, run: RunState, now: Moment) {
        state.avoided.add(run.upstream, now)
        table.requeue(state, now + options.refusalPause)
    }

    private fun complete(state: ItemState, run: RunState, now: Moment): List<DispatchAction> {
        if (state.text.events.isEmpty()) {
            retryBroken(state, run, now)
            return emptyList()
        }
        return finish(state, isCompleted = true, "completed")
    }

    private fun fail(state: ItemState, run: RunState, now: Moment): List<DispatchAction> {
        state.failures++
        state.text = ItemText()
        if (state.failures >= state.work.maximumFailures) return finish(state, isCompleted = false, "failed too often")
        retryElsewhere(state, run, now)
        return emptyList()
    }

    private fun giveUp(state: ItemState): List<DispatchAction> {
        val abort = state.run?.let { DispatchAction.Abort(table.release(it), "given up") }
        return listOfNotNull(abort) + finish(state, isCompleted = false, "waited too long")
    }

    private fun finish(state: ItemState, isCompleted: Boolean, reason: String): List<DispatchAction> {
        table.remove(listOf(state))
        return listOf(DispatchAction.Finish(state.work.key, isCompleted, state.text, reason))
    }

    private fun ItemText.plusVersion(version: WeightVersion): ItemText =
        if (version in versions) this else copy(versions = versions + version)

    private companion object {
        const val MAXIMUM_DOUBLINGS = 5
    }
}
