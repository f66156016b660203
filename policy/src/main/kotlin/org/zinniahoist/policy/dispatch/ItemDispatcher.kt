package org.zinniahoist.policy.dispatch

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.model.WorkspaceName
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Schedules items on upstreams and retries runs that break, stall or are refused.
 *
 * An [ItemOrder] and an [UpstreamFit] decide which item starts next and where. Received text is kept, and the next run
 * of the item resumes after it.
 */
public class ItemDispatcher(
    public val registry: UpstreamRegistry = UpstreamRegistry(),
    private val options: DispatchOptions = DispatchOptions(),
    private val random: Random = Random.Default,
) {
    private val table = ItemTable(registry, itemOrder(options.itemOrder))
    private val placement = ItemPlacement(registry, options)
    private val retries = ItemRetries(table, registry, options)

    /** Number of items that wait for a free slot. */
    public val waitingItems: Int get() = table.waitingItems.size

    /** Number of runs in progress. */
    public val runningItems: Int get() = table.runningItems.size

    /** Expected tokens of the running items of each workspace, if the order of items depends on them. */
    public val runningTokens: Map<WorkspaceName?, Long> get() = table.order.runningTokens

    /** Total number of characters in the texts of all unfinished items. */
    public val textCharacters: Long get() = table.all.sumOf { it.text.characters }

    /** Returns true while the item with [key] waits or runs. */
    public operator fun contains(key: ItemKey): Boolean = table.item(key) != null

    /** Summarizes the unfinished items of [model] at [now]. */
    public fun workOf(model: ModelName, now: Moment): ModelBacklog {
        val states = table.all.filter { it.work.terms?.model == model }
        val waiting = states.filter { it.run == null }
        return ModelBacklog(
            running = states.size - waiting.size,
            waiting = waiting.size,
            tokens = states.sumOf { it.work.expectedTokens.toLong() },
            oldestWait = waiting.maxOfOrNull { now - (it.waitingSince ?: now) } ?: Duration.ZERO,
        )
    }

    /** Returns the texts of all unfinished items that have at least [minimumEvents] events. */
    public fun texts(minimumEvents: Int): Map<ItemKey, ItemText> =
        table.all.filter { it.text.events.size >= minimumEvents }.associate { it.work.key to it.text }

    /** Returns the jobs that are due at [now] and have unfinished items. */
    public fun lateJobs(now: Moment): List<OverdueJob> = table.all
        .filter { now >= it.work.dueAt }
        .groupBy { it.work.key.job }
        .map { (job, states) ->
            val running = states.count { it.run != null }
            OverdueJob(job, running, states.size - running, states.minBy { it.text.events.size }.lateItem())
        }

    /** Returns why the item with [key] waits at [now], or null if it is running or unknown. */
    public fun waitReport(key: ItemKey, now: Moment): WaitReport? =
        table.item(key)?.takeIf { it.run == null }?.let { report(it, now) }

    /** Returns the longest waiting time of any item at [now], or zero if none waits. */
    public fun longestWait(now: Moment): Duration =
        table.waitingItems.maxOfOrNull { now - (it.waitingSince ?: now) } ?: Duration.ZERO

    /** Returns the report of the item that has waited longest at [now], or null if none waits. */
    public fun oldestWaiting(now: Moment): WaitReport? =
        table.waitingItems.minByOrNull { it.waitingSince ?: now }?.let { report(it, now) }

    private fun report(state: ItemState, now: Moment) =
        placement.report(state, now, table.order.ahead(state, table.waitingItems, now))

    /** Submits items. Items whose key is already known are ignored. */
    public fun submit(work: List<ItemWork>) {
        val added = work.filter { table.item(it.key) == null }.distinctBy { it.key }.map { item ->
            val resumable = if (item.text.fits(item.terms)) item else item.copy(text = ItemText())
            ItemState(resumable, AvoidedUpstreams(options.avoidanceDuration))
        }
        table.add(added)
    }

    /** Removes all items of [job] and aborts their runs. Returns the partial texts of the unfinished items. */
    public fun cancelJob(job: String): CancelledJob {
        val cancelled = table.all.filter { it.work.key.job == job }
        val aborts = cancelled.mapNotNull { state -> state.run?.let(table::release) }
        table.remove(cancelled)
        val texts = cancelled.filter { it.text.events.isNotEmpty() }.associate { it.work.key.item to it.text }
        return CancelledJob(aborts.map { DispatchAction.Abort(it, "job ended") }, texts)
    }

    /** Removes all items and aborts all runs after this process has lost the leadership. */
    public fun clear(): List<DispatchAction.Abort> {
        val aborts = table.runNumbers.map { DispatchAction.Abort(it, "leadership lost") }
        table.clear()
        return aborts
    }

    /** Handles the start of the response of [run]. Aborts the run if its weight version does not satisfy the item. */
    public fun onBegin(run: Long, version: WeightVersion?, now: Moment): List<DispatchAction> {
        val state = table.itemOfRun(run) ?: return emptyList()
        val current = state.run?.also { it.version = version } ?: return emptyList()
        current.lastProgress = now
        val terms = state.work.terms ?: return emptyList()
        if (version == null) return abortRun(state, "no version stated", now)
        registry.tracked(current.upstream)?.observeVersion(terms.model, version)
        if (version < terms.minimumVersion) return abortRun(state, "weights too old", now, isUpstreamFault = false)
        if (!state.text.plusVersion(version).fits(terms)) state.text = ItemText().also { state.mustRestart = true }
        return if (state.mustRestart) abortRun(state, "weights changed", now, isUpstreamFault = false) else emptyList()
    }

    /** Restarts the stall timeout of [run], whose request was written at [now]: no response can come before that. */
    public fun onSent(run: Long, now: Moment) {
        val current = table.itemOfRun(run)?.run ?: return
        current.lastProgress = maxOf(current.lastProgress, now)
    }

    /** Excludes a [delay] of this process, which ended at [until], from the time without events of all runs. */
    public fun onDelay(delay: Duration, until: Moment) {
        for (run in table.runningItems.mapNotNull { it.run }) {
            val adjusted = minOf(run.lastProgress + delay, until)
            run.lastProgress = maxOf(run.lastProgress, adjusted)
        }
    }

    /**
     * Handles, at [now], an event of [run] whose bytes arrived at [arrivedAt].
     *
     * @param version set on the first event after a change of the weight version, otherwise null.
     */
    public fun onEvent(
        run: Long,
        number: Long,
        data: String,
        version: WeightVersion?,
        now: Moment,
        arrivedAt: Moment = now,
    ): List<DispatchAction> {
        val state = table.itemOfRun(run) ?: return emptyList()
        val current = state.run ?: return emptyList()
        val expected = state.text.lastNumber?.plus(1)
        if (expected != null && number != expected) return abortRun(state, "event $number is not $expected", now)
        if (version != null) current.version = version
        if (current.events > 0) registry.onEventInterval(current.upstream, arrivedAt - current.lastArrival, arrivedAt)
        current.events++
        current.lastArrival = arrivedAt
        current.lastProgress = now
        state.consecutiveEmptyRuns = 0
        state.waitingSince = null
        registry.onSuccess(current.upstream)
        val text = if (state.text.identifier == null) state.text.copy(identifier = random.nextLong()) else state.text
        val extended = text.plus(number, data, current.version)
        if (extended.fits(state.work.terms)) {
            state.text = extended
            current.tokens.onEvent(extended.events.size)
            return emptyList()
        }
        state.text = ItemText()
        return abortRun(state, "weights changed in a sample", now, isUpstreamFault = false)
    }

    /** Handles the [end] of [run]: finishes or requeues its item. */
    public fun onEnd(run: Long, end: RunEnd, now: Moment): List<DispatchAction> {
        val state = table.itemOfRun(run) ?: return emptyList()
        val current = state.run ?: return emptyList()
        table.release(current)
        return when (end) {
            is RunEnd.Completed -> complete(state, current, now)
            is RunEnd.Impossible -> finish(state, isCompleted = false, "impossible")
            is RunEnd.Failed -> fail(state, current, now)
            is RunEnd.NotRun -> emptyList<DispatchAction>().also { retries.onRefused(state, current, now) }
            is RunEnd.Misdirected -> emptyList<DispatchAction>().also { retries.onMisdirected(state, current, now) }
            is RunEnd.NotSent -> emptyList<DispatchAction>().also { retries.later(state, now) }
            is RunEnd.Broken -> emptyList<DispatchAction>().also { retries.onBroken(state, current, end, now) }
        }
    }

    /**
     * Queues the item with [key] again once its latest failed run is recorded, or finishes it if it has had
     * [maximumFailures] of them. Without a limit in force, the one of its submission applies.
     */
    public fun onFailureRecorded(key: ItemKey, maximumFailures: Int?, now: Moment): List<DispatchAction> {
        val state = table.item(key) ?: return emptyList()
        val failedAt = state.failedAt ?: return emptyList()
        state.failedAt = null
        val limit = maximumFailures ?: state.work.maximumFailures
        if (state.failures >= limit) return finish(state, isCompleted = false, FAILED_TOO_OFTEN)
        retries.later(state, failedAt)
        return place(now)
    }

    /**
     * Expires items past their deadline, aborts stalled and slow runs, and starts waiting items.
     *
     * @param readUntil all input that arrived before this moment has been handled; later silence does not count as a
     * stall.
     */
    public fun tick(now: Moment, readUntil: Moment = now): List<DispatchAction> {
        val actions = ArrayList<DispatchAction>()
        for (state in table.all.filter { now >= it.work.expiresAt }) actions += expire(state)
        val exhausted = table.waitingItems.filter { it.failures >= it.work.maximumFailures }
        for (state in exhausted) actions += finish(state, isCompleted = false, FAILED_TOO_OFTEN)
        val view = placement.view(now)
        for (state in table.runningItems.toList()) {
            if (placement.shouldMove(state, waitingItems > 0, view, readUntil)) {
                actions += abortRun(state, "stalled", now)
            }
        }
        return actions + place(now)
    }

    /** Starts waiting items only. It is cheaper than [tick] and suffices after slots became free. */
    public fun place(now: Moment): List<DispatchAction> {
        if (table.waitingItems.isEmpty()) return emptyList()
        table.waitingItems.forEach { if (it.waitingSince == null) it.waitingSince = now }
        val view = placement.view(now)
        val actions = table.startWaiting(view) { placement.choose(it, view) }
        if (!registry.hasProbes(now)) return actions
        // Probes rotate among items, as an item that crashes upstreams is often the most urgent and would take all.
        return actions + table.startInRotation(view) { placement.chooseProbe(it, view) }
    }

    private fun abortRun(
        state: ItemState,
        reason: String,
        now: Moment,
        isUpstreamFault: Boolean = true,
    ): List<DispatchAction> {
        val current = state.run ?: return emptyList()
        table.release(current)
        state.moves++
        if (isUpstreamFault) retries.onBroken(state, current, now) else retries.later(state, now)
        return listOf(DispatchAction.Abort(current.number, reason))
    }

    private fun complete(state: ItemState, run: RunState, now: Moment): List<DispatchAction> {
        if (state.text.events.isEmpty()) {
            retries.onBroken(state, run, now)
            return emptyList()
        }
        return finish(state, isCompleted = true, "completed")
    }

    /** Holds the item back until its failure is recorded: a run that no later leader knows of could come too often. */
    private fun fail(state: ItemState, run: RunState, now: Moment): List<DispatchAction> {
        state.failures++
        state.failedAt = now
        state.text = ItemText()
        state.avoided.add(run.upstream, now)
        return listOf(DispatchAction.RecordFailure(state.work.key, state.failures))
    }

    private fun expire(state: ItemState): List<DispatchAction> {
        val abort = state.run?.let { DispatchAction.Abort(table.release(it), "given up") }
        return listOfNotNull(abort) + finish(state, isCompleted = false, "waited too long")
    }

    private fun finish(state: ItemState, isCompleted: Boolean, reason: String): List<DispatchAction> {
        table.remove(listOf(state), areGivenUp = !isCompleted)
        return listOf(DispatchAction.Finish(state.work.key, isCompleted, state.text, reason))
    }

    private companion object {
        const val FAILED_TOO_OFTEN = "failed too often"
    }
}
