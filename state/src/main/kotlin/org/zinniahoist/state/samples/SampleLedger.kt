package org.zinniahoist.state.samples

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FencingToken
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Label
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.Step
import org.zinniahoist.model.StepNumber
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.WeightVersion

/**
 * Keeps the steps of trainers until each sample is acknowledged, and accepts one result for each sample.
 *
 * The entry that holds a trainer's lease drafts its samples. A result is accepted only under the lease's current
 * token. Times are milliseconds of the replicated log's clock, which never decreases.
 */
public class SampleLedger(
    private val leaseMilliseconds: Long = DEFAULT_LEASE_MILLISECONDS,
    private val maximumOpenSteps: Int = DEFAULT_MAXIMUM_OPEN_STEPS,
) {
    private val trainers = HashMap<TrainerName, TrainerRecord>()

    /** Stores [step] unless a step with its number is known. */
    public fun submit(step: Step): SubmitResult {
        val trainer = trainers.getOrPut(step.trainer) { TrainerRecord() }
        val known = trainer.steps[step.number]
        return when {
            known != null -> if (known.step == step) SubmitResult.REPEATED else SubmitResult.CONFLICT
            step.number in trainer.finished -> trainer.repeatOfFinished(step)
            trainer.isTooOld(step.number) -> SubmitResult.TOO_OLD
            trainer.steps.size >= maximumOpenSteps -> SubmitResult.TOO_MANY_OPEN_STEPS
            else -> {
                trainer.steps[step.number] = StepRecord(step)
                SubmitResult.ACCEPTED
            }
        }
    }

    /** Grants or renews the lease of [trainer] for [holder]. A new grant forgets results that are not acknowledged. */
    public fun acquire(
        trainer: TrainerName,
        holder: InstanceName,
        current: FencingToken?,
        next: FencingToken,
        timeMilliseconds: Long,
    ): LeaseResult {
        val record = trainers[trainer] ?: return LeaseResult.UnknownTrainer
        val lease = record.lease
        val renews = lease != null && lease.holder == holder && lease.token == current
        val heldByOther = lease != null && lease.holder != holder && lease.expiresAtMilliseconds > timeMilliseconds
        if (lease != null && heldByOther) {
            return LeaseResult.HeldByOther(lease.holder, lease.expiresAtMilliseconds - timeMilliseconds)
        }
        val token = if (renews) lease.token else next
        if (!renews) record.steps.values.forEach(StepRecord::forgetResults)
        record.lease = Lease(holder, token, timeMilliseconds + leaseMilliseconds)
        return LeaseResult.Held(token, record.openSteps(), record.version)
    }

    /** Ends the lease of [trainer] if it is held under [token], so that another entry can take over at once. */
    public fun surrender(trainer: TrainerName, token: FencingToken): Boolean {
        val record = trainers[trainer] ?: return false
        if (record.lease?.token != token) return false
        record.lease = null
        return true
    }

    /** Accepts the result of [attempt] for [sample] if it is the first under the current lease. */
    public fun record(
        sample: SampleIdentifier,
        token: FencingToken,
        attempt: AttemptIdentifier,
        label: Label,
    ): RecordResult {
        val trainer = trainers[sample.trainer] ?: return RecordResult.UNKNOWN_SAMPLE
        if (trainer.lease?.token != token) return RecordResult.FENCED
        val step = trainer.steps[sample.step]
            ?: return if (sample.step in trainer.finished) RecordResult.ACKNOWLEDGED else RecordResult.UNKNOWN_SAMPLE
        val position = step.position(sample) ?: return RecordResult.UNKNOWN_SAMPLE
        val known = step.results[position]
        return when {
            step.acknowledged[position] -> RecordResult.ACKNOWLEDGED
            known == null -> {
                step.results[position] = Result(attempt, label)
                RecordResult.RECORDED
            }
            known.attempt == attempt -> RecordResult.RECORDED
            else -> RecordResult.DUPLICATE
        }
    }

    /** Forgets the result of [attempt], so that [sample] is drafted again. Returns false if another result counts. */
    public fun discard(sample: SampleIdentifier, token: FencingToken, attempt: AttemptIdentifier): Boolean {
        val trainer = trainers[sample.trainer] ?: return false
        if (trainer.lease?.token != token) return false
        val step = trainer.steps[sample.step] ?: return false
        val position = step.position(sample) ?: return false
        if (step.acknowledged[position] || step.results[position]?.attempt != attempt) return false
        step.results[position] = null
        return true
    }

    /** Marks [samples] of [trainer] as received and returns how many of them are acknowledged now or were before. */
    public fun acknowledge(trainer: TrainerName, samples: List<SampleIdentifier>): Int {
        val record = trainers[trainer] ?: return 0
        val acknowledged = samples.count { it.trainer == trainer && record.acknowledge(it) }
        record.finishCompleteSteps()
        return acknowledged
    }

    /** Stores the version that [trainer] has reached. Older versions than the stored one are ignored. */
    public fun announce(trainer: TrainerName, version: WeightVersion): WeightVersion {
        val record = trainers.getOrPut(trainer) { TrainerRecord() }
        val latest = maxOf(version, record.version ?: version)
        record.version = latest
        return latest
    }

    /** Returns what the holder of [token] may deliver, or null if the lease is held under another token. */
    public fun deliverable(trainer: TrainerName, token: FencingToken): Deliverable? {
        val record = trainers[trainer] ?: return null
        if (record.lease?.token != token) return null
        val attempts = record.steps.values.flatMap(StepRecord::deliverable)
        val remaining = record.steps.values.sumOf { it.acknowledged.count { acknowledged -> !acknowledged } }
        return Deliverable(attempts, record.version, remaining)
    }

    /** Returns the entry that holds the lease of [trainer], expired or not. */
    public fun holder(trainer: TrainerName): InstanceName? = trainers[trainer]?.lease?.holder

    /** Returns whether [trainer] has no sample [step] left to acknowledge. */
    public fun isFinished(trainer: TrainerName, step: StepNumber): Boolean =
        trainers[trainer]?.finished?.contains(step) ?: false

    /** Returns the trainers with samples that are not acknowledged. */
    public fun openTrainers(): List<TrainerName> =
        trainers.filterValues { it.steps.isNotEmpty() }.keys.sortedBy(TrainerName::value)

    /** Returns the whole state for a snapshot. */
    public fun capture(): SampleState = SampleState(trainers.mapValues { (_, record) -> record.capture() })

    /** Replaces the whole state with that of a snapshot. */
    public fun restore(state: SampleState) {
        trainers.clear()
        state.trainers.forEach { (name, captured) -> trainers[name] = TrainerRecord.of(captured) }
    }

    public companion object {
        /** 10 s: long enough for a pause of the holder, short enough that a step does not stall. */
        public const val DEFAULT_LEASE_MILLISECONDS: Long = 10_000

        /** Steps that a trainer may have in progress at once. */
        public const val DEFAULT_MAXIMUM_OPEN_STEPS: Int = 4
    }
}
