package org.zinniahoist.state.samples

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.Step

/** Results and acknowledgements of the samples of one step, in group order. */
internal class StepRecord(val step: Step) {
    val results: Array<Result?> = arrayOfNulls(step.sampleCount)
    val acknowledged: BooleanArray = BooleanArray(step.sampleCount)
    private val offsets: List<Int> = step.groups.runningFold(0) { offset, group -> offset + group.samples }

    val isComplete: Boolean get() = acknowledged.all { it }

    fun position(sample: SampleIdentifier): Int? {
        val group = step.groups.getOrNull(sample.group) ?: return null
        return if (sample.index in 0 until group.samples) offsets[sample.group] + sample.index else null
    }

    fun discardResults() = results.fill(null)

    fun acknowledgedSamples(): List<SampleIdentifier> = samples().filter { acknowledged[positionOf(it)] }

    fun deliverable(): List<Pair<SampleIdentifier, AttemptIdentifier>> = samples().mapNotNull { sample ->
        val position = positionOf(sample)
        val result = results[position]
        if (result == null || acknowledged[position]) null else sample to result.attempt
    }

    fun capture(): StepState = StepState(step, results.toList(), acknowledged.toList())

    private fun positionOf(sample: SampleIdentifier) = offsets[sample.group] + sample.index

    private fun samples(): List<SampleIdentifier> = step.groups.flatMapIndexed { group, contents ->
        List(contents.samples) { SampleIdentifier(step.trainer, step.number, group, it) }
    }

    companion object {
        fun of(state: StepState): StepRecord = StepRecord(state.step).also { record ->
            state.results.forEachIndexed { position, result -> record.results[position] = result }
            state.acknowledged.forEachIndexed { position, value -> record.acknowledged[position] = value }
        }
    }
}
