package org.zinniahoist.state.samples

import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.Step
import org.zinniahoist.model.StepNumber
import org.zinniahoist.model.WeightVersion
import java.util.TreeMap

/** The open steps of one trainer, the hashes of its latest finished steps, its lease and its weight version. */
internal class TrainerRecord {
    val steps = TreeMap<StepNumber, StepRecord>()
    val finished = TreeMap<StepNumber, Int>()
    var highestForgotten: StepNumber? = null
    var lease: Lease? = null
    var version: WeightVersion? = null

    fun compareWithFinished(step: Step): SubmitResult =
        if (finished[step.number] == step.hashCode()) SubmitResult.REPEATED else SubmitResult.CONFLICT

    fun isTooOld(number: StepNumber): Boolean = highestForgotten?.let { number <= it } ?: false

    fun openSteps(): List<OpenStep> = steps.values.map { OpenStep(it.step, it.acknowledgedSamples()) }

    fun acknowledge(sample: SampleIdentifier): Boolean {
        val record = steps[sample.step] ?: return sample.step in finished
        val position = record.position(sample) ?: return false
        record.acknowledged[position] = true
        record.results[position] = null
        return true
    }

    fun finishCompleteSteps() {
        val complete = steps.values.filter(StepRecord::isComplete)
        complete.forEach { record ->
            steps.remove(record.step.number)
            finished[record.step.number] = record.step.hashCode()
        }
        while (finished.size > RETAINED_FINISHED_STEPS) {
            highestForgotten = finished.pollFirstEntry().key
        }
    }

    fun capture(): TrainerState =
        TrainerState(steps.values.map(StepRecord::capture), finished.toMap(), highestForgotten, lease, version)

    companion object {
        /** Number of finished steps for which a repeated submission is still detected. */
        const val RETAINED_FINISHED_STEPS: Int = 256

        fun of(state: TrainerState): TrainerRecord = TrainerRecord().also { record ->
            state.steps.forEach { record.steps[it.step.number] = StepRecord.of(it) }
            record.finished.putAll(state.finished)
            record.highestForgotten = state.highestForgotten
            record.lease = state.lease
            record.version = state.version
        }
    }
}
