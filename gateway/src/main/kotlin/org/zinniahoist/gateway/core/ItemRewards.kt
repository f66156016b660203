package org.zinniahoist.gateway.core

import io.github.oshai.kotlinlogging.KotlinLogging
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.policy.dispatch.ItemText
import org.zinniahoist.policy.dispatch.UpstreamRegistry
import org.zinniahoist.policy.reward.RewardAction
import org.zinniahoist.policy.reward.RewardCallEnd
import org.zinniahoist.policy.reward.RewardScheduler
import org.zinniahoist.policy.reward.RewardWork
import org.zinniahoist.policy.routes.RouteTable
import org.zinniahoist.state.service.ItemResult
import org.zinniahoist.state.service.ServiceStateMachine
import kotlin.random.Random

/**
 * Obtains the scores of items whose texts are complete. All functions run on the engine thread.
 *
 * A text is recorded in the log before its reward call starts, and a score is joined only with the text for which its
 * call was made.
 *
 * @param onFailure receives the number of failed calls of an item after each of them.
 * @param onResult receives the result of an item with its score, or an error if it got none.
 */
internal class ItemRewards(
    machine: ServiceStateMachine,
    textLog: TextLog,
    registry: UpstreamRegistry,
    private val connections: RewardConnections,
    private val post: (TaskKind, () -> Unit) -> Unit,
    private val clock: () -> Moment,
    private val metrics: GatewayMetrics,
    random: Random,
    private val onFailure: (ItemKey, Int) -> Unit,
    private val onResult: (ItemKey, ItemResult) -> Unit,
) {
    private val scheduler = RewardScheduler(registry, random = random)
    private val recorder = CompleteTextRecorder(machine, textLog, metrics, clock, ::onRecorded)

    /** Complete texts without a score. */
    private val texts = LinkedHashMap<ItemKey, CompleteText>()

    /** The routes in force, or null before the first configuration. */
    var routes: RouteTable?
        get() = scheduler.routes
        set(value) {
            scheduler.routes = value
        }

    /** Written on the engine thread and read by the metrics endpoint. */
    @Volatile
    private var callsInProgress = 0

    /** Number of items that wait for their reward call, or for their text to be recorded before it. */
    @Volatile
    private var waitingItems = 0

    init {
        metrics.gauge("zinniahoist_reward_calls", "Reward calls in progress.") { callsInProgress }
        metrics.gauge("zinniahoist_reward_waiting_items", "Items with a complete text that wait for a reward call.") {
            waitingItems
        }
    }

    /** Total length of the texts without a score, in characters. */
    val textCharacters: Long get() = texts.values.sumOf { complete -> complete.text.characters }

    /** Returns true if the text of the item with [key] is complete and its score is missing. */
    operator fun contains(key: ItemKey): Boolean = key in texts

    /** Adds items that will need a score once their texts are complete. */
    fun expect(work: List<RewardWork>): Unit = scheduler.expect(work)

    /** Takes over the complete [text] of the expected item with [key]. */
    fun onTextComplete(key: ItemKey, text: ItemText, isRecorded: Boolean) {
        texts[key] = CompleteText(text, completedAt = clock())
        if (isRecorded) onRecorded(key) else recorder.record(key, text)
    }

    /** Continues the item with [key], whose failed call is recorded. */
    fun onFailureRecorded(key: ItemKey): Unit = execute(scheduler.onFailureRecorded(key, clock()))

    /** Removes the item with [key], which has finished without a text. */
    fun discard(key: ItemKey): Unit = scheduler.discard(key)

    /** Removes all items of [job], aborts their calls, and returns their complete texts as results without a score. */
    fun cancelJob(job: String): List<ItemResult> {
        recorder.forget(job)
        execute(scheduler.cancelJob(job, clock()))
        val cancelled = texts.filterKeys { it.job == job }
        texts.keys.removeAll(cancelled.keys)
        return cancelled.map { (key, complete) -> resultOf(key, complete.text, score = null) }
    }

    /** Removes all items and aborts all calls. */
    fun clear() {
        recorder.clear()
        execute(scheduler.clear(clock()))
        texts.clear()
        updateGauges()
    }

    /** Records texts and starts calls that are due. */
    fun tick() {
        recorder.tick()
        execute(scheduler.tick(clock()))
        updateGauges()
    }

    private fun updateGauges() {
        callsInProgress = scheduler.callsInProgress
        waitingItems = texts.size - callsInProgress
    }

    private fun onRecorded(key: ItemKey) {
        scheduler.onTextComplete(key)
        execute(scheduler.place(clock()))
    }

    private fun execute(actions: List<RewardAction>) {
        for (action in actions) {
            when (action) {
                is RewardAction.Call -> call(action)
                is RewardAction.Abort -> abort(action)
                is RewardAction.RecordFailure -> onFailure(action.key, action.failures)
                is RewardAction.Finish -> finish(action)
            }
        }
    }

    private fun call(action: RewardAction.Call) {
        val startedAt = clock()
        connections.start(action) { end -> post(TaskKind.REWARD_END) { onEnd(action, end, startedAt) } }
    }

    private fun onEnd(action: RewardAction.Call, end: RewardCallEnd, startedAt: Moment) {
        val now = clock()
        val age = texts[action.key]?.let { now - it.completedAt }
        logger.info {
            "event=reward-call-ended item=${action.key.item} job=${action.key.job} call=${action.call} " +
                "attempt=${action.attempt} upstream=${action.upstream.identity} outcome=\"${describe(end)}\" " +
                "latency-ms=${(now - startedAt).inWholeMilliseconds} text-age-ms=${age?.inWholeMilliseconds}"
        }
        metrics.onReward(end.javaClass.simpleName.lowercase(), now - startedAt)
        execute(scheduler.onEnd(action.call, end, now))
    }

    private fun abort(action: RewardAction.Abort) {
        logger.info { "event=reward-call-aborted call=${action.call} reason=\"${action.reason}\"" }
        connections.abort(action.call)
    }

    private fun finish(action: RewardAction.Finish) {
        val complete = texts.remove(action.key) ?: return
        logger.info {
            "event=reward-finished item=${action.key.item} job=${action.key.job} outcome=\"${action.reason}\" " +
                "text-age-ms=${(clock() - complete.completedAt).inWholeMilliseconds}"
        }
        val failure = ItemResult(action.key.item, isCompleted = false, output = "")
        onResult(action.key, action.score?.let { resultOf(action.key, complete.text, it) } ?: failure)
    }

    private fun resultOf(key: ItemKey, text: ItemText, score: String?) =
        ItemResult(key.item, isCompleted = true, text.output, text.versions, score)

    private fun describe(end: RewardCallEnd): String = when (end) {
        is RewardCallEnd.Scored -> "scored"
        is RewardCallEnd.Failed -> "failed"
        is RewardCallEnd.Refused -> "refused retry-after=${end.retryAfter}"
        is RewardCallEnd.Misdirected -> "another upstream"
        is RewardCallEnd.NotSent -> "not sent"
        is RewardCallEnd.Blocked -> "blocked after crashes"
        is RewardCallEnd.Lost -> "lost: ${end.reason}"
    }

    private class CompleteText(
        val text: ItemText,
        val completedAt: Moment,
    )

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
