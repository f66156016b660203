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

/** Generates the samples of one trainer under one fencing token. The lock of the object guards its mutable fields. */
internal class TrainerSampler(
    val contract: TrainingContract,
    val token: FencingToken,
    private val context: SamplingContext,
    private val scope: CoroutineScope,
) {
    private val lengths = context.policies.lengths()
    private val scheduler = context.policies.scheduler(lengths)
    private val groups = HashMap<GroupKey, Group>()
    private val planned = HashSet<SampleIdentifier>()
    private val generated = LinkedHashMap<AttemptIdentifier, GeneratedSample>()
    private val running = HashMap<CancelSample, Job>()
    private val forecaster = SampleForecaster(contract)
    private val deliveryOrder = DeliveryOrder()
    private var stopping = false

    /** Incremented whenever the deliverable samples may have changed. */
    val changes = MutableStateFlow(0L)

    @Volatile
    var leaseLost = false
        private set

    val isIdle: Boolean get() = synchronized(this) { running.isEmpty() }

    val isDelivered: Boolean get() = synchronized(this) { running.isEmpty() && generated.isEmpty() }

    /** Reconciles the planned and generated samples with the ledger after the lease was granted or renewed. */
    fun onLeaseHeld(lease: LeaseResult.Held) {
        val now = context.clock()
        synchronized(this) {
            lease.trainerVersion?.let { forecaster.onVersion(it, now) }
            lease.open.forEach { plan(it) }
            val open = lease.open.associate { it.step.number to it.acknowledged.toSet() }
            generated.values.removeIf { open[it.identifier.step]?.contains(it.identifier) ?: true }
            deliveryOrder.retain(generated.keys)
            planned.removeIf { it.step !in open }
            groups.keys.removeIf { key -> open.keys.none { it.value == key.step } }
        }
        changes.value += 1
        schedule()
    }

    fun onVersion(version: WeightVersion) {
        synchronized(this) { forecaster.onVersion(version, context.clock()) }
        schedule()
    }

    /** Starts samples as long as the engines have free slots. */
    fun schedule() {
        while (true) {
            val start = synchronized(this) { nextStart() } ?: return
            val key = CancelSample(start.identifier, start.attempt)
            val job = scope.launch(start = kotlinx.coroutines.CoroutineStart.LAZY) { generate(start) }
            synchronized(this) { running[key] = job }
            job.invokeOnCompletion {
                context.slots.release(contract.model)
                synchronized(this) { running.remove(key) }
                if (!leaseLost && it == null) schedule()
            }
            job.start()
        }
    }

    /** Stops starting samples; running ones continue. */
    fun stopScheduling() = synchronized(this) { stopping = true }

    /** Cancels all samples and discards the generated ones, as the lease was lost or surrendered. */
    fun cancelAll() {
        leaseLost = true
        val jobs = synchronized(this) {
            stopping = true
            generated.clear()
            running.values.toList()
        }
        jobs.forEach { it.cancel() }
        changes.value += 1
    }

    /** Returns the sample that [attempt] generated, or null if this entry does not have it. */
    fun generatedSample(attempt: AttemptIdentifier): PositionedSample? = synchronized(this) {
        generated[attempt]?.let { PositionedSample(it, deliveryOrder.positionOf(attempt)) }
    }

    /** Discards the result of [attempt] in the ledger and schedules [sample] again. */
    suspend fun regenerate(sample: SampleIdentifier, attempt: AttemptIdentifier) {
        context.events.record("sample-discarded", "sample" to sample, "attempt" to attempt)
        val command = LedgerCommand.DiscardSample(sample, token, attempt)
        val answer = context.ledger.command(context.group(contract), command).getOrElse { return }
        val discarded = (answer as? LedgerAnswer.Done)?.changed ?: false
        synchronized(this) {
            generated.remove(attempt)
            if (discarded && sample in planned) scheduler.add(listOf(plannedSample(sample)), context.clock())
        }
        schedule()
    }

    private fun plan(open: OpenStep) {
        val acknowledged = open.acknowledged.toSet()
        val newSamples = open.step.groups.flatMapIndexed { index, group ->
            groups[GroupKey(open.step.number.value, index)] = group
            List(group.samples) { SampleIdentifier(contract.trainer, open.step.number, index, it) }
        }.filter { it !in acknowledged && planned.add(it) }
        if (newSamples.isNotEmpty()) scheduler.add(newSamples.map(::plannedSample), context.clock())
    }

    private fun groupOf(sample: SampleIdentifier): Group = groups.getValue(GroupKey(sample.step.value, sample.group))

    private fun plannedSample(sample: SampleIdentifier) = PlannedSample(sample, groupOf(sample).maximumTokens)

    private fun nextStart(): StartSample? {
        val now = context.clock()
        if (stopping) return null
        val engineVersion = context.engineVersion(contract.model)
        if (engineVersion != null) {
            val forecast = forecaster.of(engineVersion, 0.0, now)
            if (
                forecast != null &&
                context.policies.staleness.beforeStart(forecast) == StartDecision.WAIT_FOR_WEIGHTS
            ) {
                return null
            }
        }
        if (!context.slots.tryAcquire(contract.model)) return null
        val start = scheduler.next(context.slots.supply(contract.model), now)
        if (start == null) context.slots.release(contract.model)
        return start
    }

    private suspend fun generate(start: StartSample) {
        val sample = start.identifier
        val attempt = AttemptIdentifier(UUID.randomUUID().toString())
        val collector = SampleCollector { tokens, oldest -> onProgress(start, tokens, oldest) }
        var completed = false
        try {
            val plan = synchronized(this) { planOf(start) }
            if (plan == null) {
                // All samples of the step were acknowledged, so there is nothing left to generate.
                finish(start, tokens = 0)
                completed = true
                return
            }
            val end = context.runner.run(plan, collector)
            val finished = collector.finish(sample, attempt).takeIf { context.isSuccess(end) }
            completed = finished != null && record(finished, start)
            context.events.record("sample-drafted", "sample" to sample, "attempt" to attempt, "recorded" to completed)
        } catch (abandoned: AbandonedException) {
            context.events.record("sample-abandoned", "sample" to sample, "cause" to abandoned.message)
        } finally {
            if (!completed) {
                synchronized(this) {
                    scheduler.onFailed(sample, start.attempt, collector.deliveredTokens, context.clock())
                }
            }
        }
        if (!completed) delay(RETRY_DELAY)
    }

    private fun planOf(start: StartSample): RequestPlan? {
        val sample = start.identifier
        val group = groups[GroupKey(sample.step.value, sample.group)] ?: return null
        val finished = generated.values.map { it.identifier }
            .count { it.step == sample.step && it.group == sample.group }
        return context.plan(contract, sample, group, start, group.samples - finished)
    }

    private fun finish(start: StartSample, tokens: Int) {
        val supersededJobs = synchronized(this) {
            scheduler.onFinished(start.identifier, start.attempt, tokens, context.clock()).mapNotNull { running[it] }
        }
        supersededJobs.forEach { it.cancel(CancellationException("another attempt finished")) }
    }

    private fun onProgress(start: StartSample, tokens: Int, oldest: WeightVersion?) {
        val now = context.clock()
        val abandon = synchronized(this) {
            scheduler.onProgress(start.identifier, start.attempt, tokens, now)
            val forecast = oldest?.let { forecaster.of(it, start.expectedTokens - tokens, now) }
            forecast != null && context.policies.staleness.whileRunning(forecast) == RunDecision.ABANDON
        }
        if (abandon) throw AbandonedException()
    }

    /** Records [sample] in the ledger. Returns whether the scheduler can drop the sample. */
    private suspend fun record(sample: GeneratedSample, start: StartSample): Boolean {
        synchronized(this) {
            if (leaseLost) return false
            generated[sample.attempt] = sample
        }
        val result = recordInLedger(sample)
        if (result != RecordResult.RECORDED) synchronized(this) { generated.remove(sample.attempt) }
        if (result == RecordResult.FENCED) leaseLost = true
        if (result == null || result == RecordResult.FENCED) return false
        val key = GroupKey(sample.identifier.step.value, sample.identifier.group)
        synchronized(this) { lengths.observe(key, sample.label.tokens) }
        finish(start, sample.label.tokens)
        changes.value += 1
        return true
    }

    /** Retries the command until its outcome is known. The ledger deduplicates by attempt, so retries are safe. */
    private suspend fun recordInLedger(sample: GeneratedSample): RecordResult? {
        val command = LedgerCommand.RecordSample(sample.identifier, token, sample.attempt, sample.label)
        while (!leaseLost) {
            val answer = context.ledger.command(context.group(contract), command).getOrElse {
                delay(RETRY_DELAY)
                null
            }
            if (answer != null) return (answer as? LedgerAnswer.Recorded)?.result
        }
        return null
    }

    private class AbandonedException : Exception("over the staleness bound")

    private companion object {
        /** Avoids a busy loop when an engine or the ledger fails immediately. */
        val RETRY_DELAY = 100.milliseconds
    }
}

/** A generated sample with its position in the delivery deliveryOrder. */
internal data class PositionedSample(
    val sample: GeneratedSample,
    val position: Long,
)
