package org.zinniahoist.daemon.entry

import arrow.core.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.Group
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.TrainingContract
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.sampling.CancelSample
import org.zinniahoist.policy.sampling.GroupKey
import org.zinniahoist.policy.sampling.PlannedSample
import org.zinniahoist.policy.sampling.StartSample
import org.zinniahoist.policy.staleness.RunDecision
import org.zinniahoist.policy.staleness.StartDecision
import org.zinniahoist.state.ledger.LedgerAnswer
import org.zinniahoist.state.ledger.LedgerCommand
import org.zinniahoist.state.samples.LeaseResult
import org.zinniahoist.state.samples.OpenStep
import org.zinniahoist.state.samples.RecordResult
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds

/** Drafts the samples of one trainer under one fencing token. Its lock guards all fields. */
internal class TrainerWork(
    val contract: TrainingContract,
    val token: FencingToken,
    private val tools: DraftTools,
    private val scope: CoroutineScope,
) {
    private val lengths = tools.policies.lengths()
    private val scheduler = tools.policies.scheduler(lengths)
    private val groups = HashMap<GroupKey, Group>()
    private val planned = HashSet<SampleIdentifier>()
    private val drafted = LinkedHashMap<AttemptIdentifier, DraftedSample>()
    private val running = HashMap<CancelSample, Job>()
    private val outlooks = SampleForecaster(contract)
    private val order = DeliveryOrder()
    private var stopping = false

    /** Changes whenever the deliverable samples may have changed. */
    val changes = MutableStateFlow(0L)

    @Volatile
    var lost = false
        private set

    val isIdle: Boolean get() = synchronized(this) { running.isEmpty() }

    val isHandedOver: Boolean get() = synchronized(this) { running.isEmpty() && drafted.isEmpty() }

    /** Takes over what the ledger says after the lease was granted or renewed. */
    fun onHeld(held: LeaseResult.Held) {
        val now = tools.clock()
        synchronized(this) {
            held.trainerVersion?.let { outlooks.onVersion(it, now) }
            held.open.forEach { plan(it) }
            val open = held.open.associate { it.step.number to it.acknowledged.toSet() }
            drafted.values.removeIf { open[it.identifier.step]?.contains(it.identifier) ?: true }
            order.retain(drafted.keys)
            planned.removeIf { it.step !in open }
            groups.keys.removeIf { key -> open.keys.none { it.value == key.step } }
        }
        changes.value += 1
        pump()
    }

    fun onVersion(version: WeightVersion) {
        synchronized(this) { outlooks.onVersion(version, tools.clock()) }
        pump()
    }

    /** Starts the drafts for which the engines have room. */
    fun pump() {
        while (true) {
            val start = synchronized(this) { nextStart() } ?: return
            val key = CancelSample(start.identifier, start.attempt)
            val job = scope.launch(start = kotlinx.coroutines.CoroutineStart.LAZY) { draft(start) }
            synchronized(this) { running[key] = job }
            job.invokeOnCompletion {
                tools.slots.release(contract.model)
                synchronized(this) { running.remove(key) }
                if (!lost && it == null) pump()
            }
            job.start()
        }
    }

    /** Starts no more drafts. */
    fun stopStarting() = synchronized(this) { stopping = true }

    /** Ends all drafts, as the lease is lost or given back. */
    fun abandon() {
        lost = true
        val jobs = synchronized(this) {
            stopping = true
            drafted.clear()
            running.values.toList()
        }
        jobs.forEach { it.cancel() }
        changes.value += 1
    }

    /** Returns the sample that [attempt] drafted, if it is held. */
    fun held(attempt: AttemptIdentifier): HeldSample? = synchronized(this) {
        drafted[attempt]?.let { HeldSample(it, order.positionOf(attempt)) }
    }

    /** Forgets the result of [attempt] in the ledger and drafts [sample] again. */
    suspend fun draftAgain(sample: SampleIdentifier, attempt: AttemptIdentifier) {
        tools.events.record("sample-discarded", "sample" to sample, "attempt" to attempt)
        val command = LedgerCommand.DiscardSample(sample, token, attempt)
        val answer = tools.ledger.command(tools.group(contract), command).getOrElse { return }
        val discarded = (answer as? LedgerAnswer.Done)?.changed ?: false
        synchronized(this) {
            drafted.remove(attempt)
            if (discarded && sample in planned) scheduler.add(listOf(plannedSample(sample)), tools.clock())
        }
        pump()
    }

    private fun plan(open: OpenStep) {
        val acknowledged = open.acknowledged.toSet()
        val fresh = open.step.groups.flatMapIndexed { index, group ->
            groups[GroupKey(open.step.number.value, index)] = group
            List(group.samples) { SampleIdentifier(contract.trainer, open.step.number, index, it) }
        }.filter { it !in acknowledged && planned.add(it) }
        if (fresh.isNotEmpty()) scheduler.add(fresh.map(::plannedSample), tools.clock())
    }

    private fun groupOf(sample: SampleIdentifier): Group = groups.getValue(GroupKey(sample.step.value, sample.group))

    private fun plannedSample(sample: SampleIdentifier) = PlannedSample(sample, groupOf(sample).maximumTokens)

    private fun nextStart(): StartSample? {
        val now = tools.clock()
        if (stopping) return null
        val engineVersion = tools.engineVersion(contract.model)
        if (engineVersion != null) {
            val outlook = outlooks.of(engineVersion, 0.0, now)
            if (outlook != null && tools.policies.staleness.beforeStart(outlook) == StartDecision.WAIT_FOR_WEIGHTS) {
                return null
            }
        }
        if (!tools.slots.tryTake(contract.model)) return null
        val start = scheduler.next(tools.slots.supply(contract.model), now)
        if (start == null) tools.slots.release(contract.model)
        return start
    }

    private suspend fun draft(start: StartSample) {
        val sample = start.identifier
        val attempt = AttemptIdentifier(UUID.randomUUID().toString())
        val draft = SampleDraft { tokens, oldest -> onProgress(start, tokens, oldest) }
        var done = false
        try {
            val plan = synchronized(this) { planOf(start) }
            if (plan == null) {
                // The step was acknowledged as a whole, so nothing is left to draft.
                finish(start, tokens = 0)
                done = true
                return
            }
            val end = tools.runner.run(plan, draft)
            val finished = draft.finish(sample, attempt).takeIf { tools.isAnswer(end) }
            done = finished != null && record(finished, start)
            tools.events.record("sample-drafted", "sample" to sample, "attempt" to attempt, "recorded" to done)
        } catch (abandoned: AbandonedException) {
            tools.events.record("sample-abandoned", "sample" to sample, "cause" to abandoned.message)
        } finally {
            if (!done) {
                synchronized(this) { scheduler.onFailed(sample, start.attempt, draft.deliveredTokens, tools.clock()) }
            }
        }
        if (!done) delay(FAILURE_PAUSE)
    }

    private fun planOf(start: StartSample): RequestPlan? {
        val sample = start.identifier
        val group = groups[GroupKey(sample.step.value, sample.group)] ?: return null
        val finished = drafted.values.map { it.identifier }
            .count { it.step == sample.step && it.group == sample.group }
        return tools.plan(contract, sample, group, start, group.samples - finished)
    }

    private fun finish(start: StartSample, tokens: Int) {
        val losers = synchronized(this) {
            scheduler.onFinished(start.identifier, start.attempt, tokens, tools.clock()).mapNotNull { running[it] }
        }
        losers.forEach { it.cancel(CancellationException("another attempt finished")) }
    }

    private fun onProgress(start: StartSample, tokens: Int, oldest: WeightVersion?) {
        val now = tools.clock()
        val abandon = synchronized(this) {
            scheduler.onProgress(start.identifier, start.attempt, tokens, now)
            val outlook = oldest?.let { outlooks.of(it, start.expectedTokens - tokens, now) }
            outlook != null && tools.policies.staleness.whileRunning(outlook) == RunDecision.ABANDON
        }
        if (abandon) throw AbandonedException()
    }

    /** Records [sample]. Returns whether its scheduler entry is done. */
    private suspend fun record(sample: DraftedSample, start: StartSample): Boolean {
        synchronized(this) {
            if (lost) return false
            drafted[sample.attempt] = sample
        }
        val result = recordInLedger(sample)
        if (result != RecordResult.RECORDED) synchronized(this) { drafted.remove(sample.attempt) }
        if (result == RecordResult.FENCED) lost = true
        if (result == null || result == RecordResult.FENCED) return false
        val key = GroupKey(sample.identifier.step.value, sample.identifier.group)
        synchronized(this) { lengths.observe(key, sample.label.tokens) }
        finish(start, sample.label.tokens)
        changes.value += 1
        return true
    }

    /** Repeats the command until its outcome is known: the ledger knows the attempt and counts it once. */
    private suspend fun recordInLedger(sample: DraftedSample): RecordResult? {
        val command = LedgerCommand.RecordSample(sample.identifier, token, sample.attempt, sample.label)
        while (!lost) {
            val answer = tools.ledger.command(tools.group(contract), command).getOrElse {
                delay(FAILURE_PAUSE)
                null
            }
            if (answer != null) return (answer as? LedgerAnswer.Recorded)?.result
        }
        return null
    }

    private class AbandonedException : Exception("over the staleness bound")

    private companion object {
        /** Keeps a failing engine from being asked for the same sample in a busy loop. */
        val FAILURE_PAUSE = 100.milliseconds
    }
}

/** A drafted sample with its place in the order of delivery. */
internal data class HeldSample(
    val sample: DraftedSample,
    val position: Long,
)
