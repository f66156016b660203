package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Times and limits of an [ItemDispatcher]. */
public data class DispatchOptions(
    /** Silence of a stream after which its item moves to another upstream; doubled with each move of the item. */
    public val stallLimit: Duration = 700.milliseconds,
    /** Longest silence that is borne. */
    public val longestStallLimit: Duration = 4_000.milliseconds,
    /** Added to the limits while the upstream loads weights, during which its streams stand still. */
    public val loadAllowance: Duration = 1_500.milliseconds,
    /** A stream moves if its upstream is slower than the others by this factor. */
    public val slowFactor: Double = 2.5,
    /** Runs in a row that broke without an event, after which an item is suspected to crash upstreams. */
    public val suspicionLimit: Int = 3,
    /** Pause before a suspected item is tried again. */
    public val suspicionPause: Duration = 4_000.milliseconds,
    /** Pause after an upstream refused an item. */
    public val refusalPause: Duration = 60.milliseconds,
)

/**
 * Decides which item runs on which upstream, and what becomes of broken runs.
 *
 * Items of the job that is due first go first; in a job, those that an earlier job already held, then the longest ones.
 * Text that was received is kept, and another run goes on after it.
 */
public class ItemDispatcher(
    public val board: UpstreamBoard = UpstreamBoard(),
    private val options: DispatchOptions = DispatchOptions(),
) {
    private val items = LinkedHashMap<ItemKey, ItemState>()
    private val runs = HashMap<Long, ItemState>()
    private var waiting = ArrayList<ItemState>()
    private var nextRun = 1L

    /** Items that wait for a place. */
    public val waitingItems: Int get() = waiting.size

    /** Runs in progress. */
    public val runningItems: Int get() = runs.size

    /** Returns the expected tokens of all items of [model] that are not finished. */
    public fun openTokens(model: ModelName): Long =
        items.values.filter { it.work.terms?.model == model }.sumOf { it.work.expectedTokens.toLong() }

    /** Adds items; those that are known already are left as they are. */
    public fun submit(work: List<ItemWork>) {
        for (item in work) {
            if (item.key in items) continue
            val state = ItemState(if (item.text.fits(item.terms)) item else item.copy(text = ItemText()))
            items[item.key] = state
            waiting += state
        }
        waiting.sortWith(URGENCY)
    }

    /** Forgets all items of [job] and ends their runs. Returns the text of those that were not finished. */
    public fun cancelJob(job: String): CancelledJob {
        val cancelled = items.values.filter { it.work.key.job == job }
        val aborts = cancelled.mapNotNull { state -> state.run?.let { release(it) } }
        cancelled.forEach { items.remove(it.work.key) }
        waiting.removeAll(cancelled.toSet())
        val texts = cancelled.filter { it.text.events.isNotEmpty() }.associate { it.work.key.item to it.text }
        return CancelledJob(aborts.map { DispatchAction.Abort(it, "job ended") }, texts)
    }

    /** Ends everything, because this process no longer decides. */
    public fun clear(): List<DispatchAction.Abort> {
        val aborts = runs.keys.map { DispatchAction.Abort(it, "leadership lost") }
        items.clear()
        runs.clear()
        waiting = ArrayList()
        board.all.forEach { it.inFlight = 0 }
        return aborts
    }

    /** The answer of [run] began. Returns an abort if its weights are too old for the item. */
    public fun onBegin(run: Long, version: WeightVersion?, now: Moment): List<DispatchAction> {
        val state = runs[run] ?: return emptyList()
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

    /** An event of [run] arrived. [version] is set where the weights changed. */
    public fun onEvent(
        run: Long,
        number: Long,
        data: String,
        version: WeightVersion?,
        now: Moment,
    ): List<DispatchAction> {
        val state = runs[run] ?: return emptyList()
        val current = state.run ?: return emptyList()
        val expected = state.text.lastNumber?.plus(1)
        if (expected != null && number != expected) return breakOff(state, "event $number is not $expected", now)
        if (version != null) current.version = version
        if (current.events > 0) board.onPace(current.upstream, now - current.lastProgress)
        current.events++
        current.lastProgress = now
        state.fruitlessRuns = 0
        board.onSuccess(current.upstream)
        val longer = state.text.plus(number, data, current.version)
        if (longer.fits(state.work.terms)) {
            state.text = longer
            return emptyList()
        }
        state.text = ItemText()
        return breakOff(state, "weights changed in a sample", now, isUpstreamFault = false)
    }

    /** The [run] ended. */
    public fun onEnd(run: Long, end: RunEnd, now: Moment): List<DispatchAction> {
        val state = runs[run] ?: return emptyList()
        val current = state.run ?: return emptyList()
        release(current)
        return when (end) {
            is RunEnd.Completed -> complete(state, current, now)
            is RunEnd.Impossible -> finish(state, isCompleted = false, "impossible")
            is RunEnd.Failed -> fail(state, current, now)
            is RunEnd.NotRun -> emptyList<DispatchAction>().also { requeue(state, now + options.refusalPause) }
            is RunEnd.Broken -> emptyList<DispatchAction>().also { onBroken(state, current, end, now) }
        }
    }

    /** Starts what can be started, moves what has stalled, gives up what is too old. */
    public fun tick(now: Moment): List<DispatchAction> {
        val actions = ArrayList<DispatchAction>()
        for (state in items.values.toList()) {
            if (now >= state.work.giveUpAt) actions += giveUp(state)
        }
        for (state in runs.values.toList()) if (isToMove(state, now)) actions += breakOff(state, "stalled", now)
        actions += startWaiting(now)
        return actions
    }

    private fun startWaiting(now: Moment): List<DispatchAction> {
        if (waiting.isEmpty()) return emptyList()
        val actions = ArrayList<DispatchAction>()
        val still = ArrayList<ItemState>()
        for (state in waiting) {
            val card = if (state.notBefore?.let { now < it } == true) null else choose(state, now)
            if (card == null) still += state else actions += start(state, card, now)
        }
        waiting = still
        return actions
    }

    private fun start(state: ItemState, card: UpstreamCard, now: Moment): DispatchAction {
        val run = nextRun++
        card.inFlight++
        state.restart = false
        state.run = RunState(run, card.listed.identity, startedAt = now, lastProgress = now)
        runs[run] = state
        return DispatchAction.Start(run, state.work.key, card.listed, state.text.lastNumber)
    }

    /** The least time to go over the places in use; the same upstream for a group as long as that costs little. */
    private fun choose(state: ItemState, now: Moment, avoided: UpstreamIdentity? = state.lastUpstream): UpstreamCard? {
        val usable = board.usable(state.work.service, now)
        return usable
            .filter { it.inFlight < it.listed.slots && !it.isLoading && hasWeights(it, state.work.terms) }
            .filter { it.listed.identity != avoided || usable.size == 1 }
            .minByOrNull { board.paceOf(it) * (it.listed.slots + it.inFlight) }
    }

    private fun hasWeights(card: UpstreamCard, terms: DraftTerms?): Boolean {
        if (terms == null) return true
        val version = card.version(terms.model) ?: return false
        return version >= terms.minimumVersion
    }

    private fun isToMove(state: ItemState, now: Moment): Boolean {
        val run = state.run ?: return false
        val limit = minOf(options.stallLimit * (1 shl state.moves.coerceAtMost(3)), options.longestStallLimit)
        val card = board.card(run.upstream)
        val allowance = if (card?.isLoading == true) options.loadAllowance else Duration.ZERO
        if (now - run.lastProgress >= limit + allowance) return true
        if (card == null) return false
        if (state.moves > 0 || run.events < 2 || now - run.startedAt < MINIMUM_STAY) return false
        if (board.paceOf(card) < options.slowFactor * board.medianPace()) return false
        return waiting.isEmpty() && choose(state, now, avoided = run.upstream) != null
    }

    private fun breakOff(
        state: ItemState,
        reason: String,
        now: Moment,
        isUpstreamFault: Boolean = true,
    ): List<DispatchAction> {
        val current = state.run ?: return emptyList()
        release(current)
        state.moves++
        if (isUpstreamFault) retryBroken(state, current, now) else requeue(state, now + options.refusalPause)
        return listOf(DispatchAction.Abort(current.number, reason))
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
        state.lastUpstream = run.upstream
        val isSuspect = state.fruitlessRuns >= options.suspicionLimit
        requeue(state, if (isSuspect) now + options.suspicionPause else null)
    }

    private fun requeue(state: ItemState, notBefore: Moment?) {
        state.notBefore = notBefore
        waiting += state
        waiting.sortWith(URGENCY)
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
        state.lastUpstream = run.upstream
        requeue(state, now + options.refusalPause)
        return emptyList()
    }

    private fun giveUp(state: ItemState): List<DispatchAction> {
        val abort = state.run?.let { DispatchAction.Abort(release(it), "given up") }
        return listOfNotNull(abort) + finish(state, isCompleted = false, "waited too long")
    }

    private fun finish(state: ItemState, isCompleted: Boolean, reason: String): List<DispatchAction> {
        items.remove(state.work.key)
        waiting.remove(state)
        return listOf(DispatchAction.Finish(state.work.key, isCompleted, state.text, reason))
    }

    private fun release(run: RunState): Long {
        runs.remove(run.number)?.run = null
        board.card(run.upstream)?.let { it.inFlight = (it.inFlight - 1).coerceAtLeast(0) }
        return run.number
    }

    private fun ItemText.plusVersion(version: WeightVersion): ItemText =
        if (version in versions) this else copy(versions = versions + version)

    private class RunState(
        val number: Long,
        val upstream: UpstreamIdentity,
        val startedAt: Moment,
        var lastProgress: Moment,
    ) {
        var events = 0
        var version: WeightVersion? = null
    }

    private class ItemState(val work: ItemWork) {
        var text = work.text
        var run: RunState? = null
        var notBefore: Moment? = null
        var lastUpstream: UpstreamIdentity? = null
        var failures = 0
        var fruitlessRuns = 0
        var moves = 0
        var restart = false
    }

    private companion object {
        /** Keeps an item from moving before the pace of its upstream is known. */
        val MINIMUM_STAY = 300.milliseconds

        val URGENCY: Comparator<ItemState> = compareBy<ItemState>(
            { it.work.dueAt },
            { !it.work.isCarriedOver },
            { -it.work.expectedTokens },
        )
    }
}

/** What remains of a job that was cancelled. */
public class CancelledJob(
    public val aborts: List<DispatchAction.Abort>,
    /** Text of the unfinished items, for a later job that holds them again. */
    public val texts: Map<RequestIdentifier, ItemText>,
)
