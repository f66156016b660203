package org.zinniahoist.experiment.virtual

import org.zinniahoist.model.Moment
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.StepNumber
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.sampling.PlannedSample
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A trainer that trains on a whole step while the samples of the next one are drafted. */
internal class VirtualTrainer(
    private val loop: EventLoop,
    val name: TrainerName,
    private val scenario: Scenario,
    private val measures: Measures,
) {
    var version = WeightVersion(0)
        private set
    var onStep: (List<PlannedSample>) -> Unit = {}
    var onVersion: (WeightVersion) -> Unit = {}
    private val missing = HashSet<SampleIdentifier>()
    private var step = 0L
    private var trainingEnds: Moment? = null
    private var idleSince: Moment? = null
    private var firstTraining: Moment? = null
    private var idle = Duration.ZERO

    /** Time until the next weights, or null if they depend on the step that is being drafted. */
    val untilNextWeights: Duration? get() = trainingEnds?.let { it - loop.now + ROLLOUT_TIME }

    fun submit() {
        step += 1
        val samples = List(scenario.groups * Sizes.SAMPLES_PER_GROUP) {
            val group = it / Sizes.SAMPLES_PER_GROUP
            val identifier = SampleIdentifier(name, StepNumber(step), group, it % Sizes.SAMPLES_PER_GROUP)
            PlannedSample(identifier, Sizes.MAXIMUM_SAMPLE_TOKENS)
        }
        missing.addAll(samples.map { it.identifier })
        onStep(samples)
    }

    fun onSample(sample: SampleIdentifier) {
        missing.remove(sample)
        if (missing.isEmpty() && trainingEnds == null) train()
    }

    /** Records the idle share since the first step was whole, as the first one can't overlap with training. */
    fun finish() {
        val first = firstTraining ?: return
        val open = idleSince?.let { loop.now - it } ?: Duration.ZERO
        measures.idleTimes.add((idle + open) / (loop.now - first))
    }

    private fun train() {
        if (firstTraining == null) firstTraining = loop.now
        idle += idleSince?.let { loop.now - it } ?: Duration.ZERO
        idleSince = null
        trainingEnds = loop.now + scenario.trainingTime
        measures.steps += 1
        loop.after(scenario.trainingTime) {
            trainingEnds = null
            idleSince = loop.now
            version = WeightVersion(version.number + 1)
            onVersion(version)
            if (missing.isEmpty()) train()
        }
        submit()
    }

    private companion object {
        val ROLLOUT_TIME = 5.seconds
    }
}
