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
 * Stores the steps of trainers until all their samples are acknowledged, and accepts one result for each sample.
 *
 * The entry instance that holds the lease of a trainer schedules its samples. A result is accepted only with the
 * current fencing token of the lease. Times are milliseconds of the replicated log's clock, which never decreases.
 */
public class SampleLedger(
    private val leaseMilliseconds: Long = DEFAULT_LEASE_MILLISECONDS,
    private val maximumOpenSteps: Int = DEFAULT_MAXIMUM_OPEN_STEPS,
) {
    private val trainers = HashMap<TrainerName, TrainerRecord>()

    /** Stores [step] unless a step with its number is already known. */
    public fun submit(step: Step): SubmitResult {
        val trainer = trainers.getOrPut(step.trainer) { TrainerRecord() }
        val known = trainer.steps[step.number]
        return when {
            known != null -> if (known.step == step) SubmitResult.REPEATED else SubmitResult.CONFLICT
            step.number in trainer.finished -> trainer.compareWithFinished(step)
            trainer.isTooOld(step.number) -> SubmitResult.TOO_OLD
            trainer.steps.size >= maximumOpenSteps -> SubmitResult.TOO_MANY_OPEN_STEPS
            else -> {
                trainer.steps[step.number] = StepRecord(step)
                SubmitResult.ACCEPTED
            }
        }
    }

    /** Grants or renews the lease of [trainer] for [holder]. A new grant discards unacknowledged results. */
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
        if (!renews) record.steps.values.forEach(StepRecord::discardResults)
        record.lease = Lease(holder, token, timeMilliseconds + leaseMilliseconds)
        return LeaseResult.Held(token, record.openSteps(), record.version)
    }

    /** Ends the lease of [trainer] if it has the fencing [token], so that another instance can acquire it at once. */
    public fun surrender(trainer: TrainerName, token: FencingToken): Boolean {
        val record = trainers[trainer] ?: return false
        if (record.lease?.token != token) return false
        record.lease = null
        return true
    }

    /** Records the result of [attempt] for [sample] if it is the first one under the current lease. */
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

    /** Discards the result of [attempt], so that [sample] is generated again. Returns false if it is not recorded. */
    public fun discard(sample: SampleIdentifier, token: FencingToken, attempt: AttemptIdentifier): Boolean {
        val trainer = trainers[sample.trainer] ?: return false
        if (trainer.lease?.token != token) return false
        val step = trainer.steps[sample.step] ?: return false
        val position = step.position(sample) ?: return false
        if (step.acknowledged[position] || step.results[position]?.attempt != attempt) return false
        step.results[position] = null
        return true
    }

    /** Marks [samples] of [trainer] as received, and returns how many of them are now acknowledged. */
    public fun acknowledge(trainer: TrainerName, samples: List<SampleIdentifier>): Int {
        val record = trainers[trainer] ?: return 0
        val acknowledged = samples.count { it.trainer == trainer && record.acknowledge(it) }
        record.finishCompleteSteps()
        return acknowledged
    }

    /** Stores the weight version that [trainer] has reached, and returns the latest; older versions are ignored. */
    public fun announce(trainer: TrainerName, version: WeightVersion): WeightVersion {
        val record = trainers.getOrPut(trainer) { TrainerRecord() }
        val latest = maxOf(version, record.version ?: version)
        record.version = latest
        return latest
    }

    /** Returns the results that the lease holder may deliver, or null if the lease has another fencing [token]. */
    public fun deliverable(trainer: TrainerName, token: FencingToken): Deliverable? {
        val record = trainers[trainer] ?: return null
        if (record.lease?.token != token) return null
        val attempts = record.steps.values.flatMap(StepRecord::deliverable)
        val remaining = record.steps.values.sumOf { it.acknowledged.count { acknowledged -> !acknowledged } }
        return Deliverable(attempts, record.version, remaining)
    }

    /** Returns the entry instance that holds the lease of [trainer], even if the lease has expired. */
    public fun holder(trainer: TrainerName): InstanceName? = trainers[trainer]?.lease?.holder

    /** Returns whether [step] is one of the retained finished steps of [trainer]. */
    public fun isFinished(trainer: TrainerName, step: StepNumber): Boolean =
        trainers[trainer]?.finished?.contains(step) ?: false

    /** Returns the trainers with unacknowledged samples. */
    public fun openTrainers(): List<TrainerName> =
        trainers.filterValues { it.steps.isNotEmpty() }.keys.sortedBy(TrainerName::value)

    /** Returns a copy of the state for a snapshot. */
    public fun capture(): SampleState = SampleState(trainers.mapValues { (_, record) -> record.capture() })

    /** Replaces the state with that of a snapshot. */
    public fun restore(state: SampleState) {
        trainers.clear()
        state.trainers.forEach { (name, captured) -> trainers[name] = TrainerRecord.of(captured) }
    }

    public companion object {
        /** 10 s: outlasts a pause of the holder, and is short enough that a step does not stall. */
        public const val DEFAULT_LEASE_MILLISECONDS: Long = 10_000

        /** Maximum number of concurrent open steps of a trainer. */
        public const val DEFAULT_MAXIMUM_OPEN_STEPS: Int = 4
    }
}
