package org.zinniahoist.policy.sampling

import org.zinniahoist.model.Moment
import org.zinniahoist.model.SampleIdentifier

/** Baseline scheduler: starts samples in arrival order, without hedging. */
public class ArrivalOrderScheduler : SampleScheduler {
    private val waiting = ArrayDeque<PlannedSample>()
    private val started = HashMap<SampleIdentifier, Pair<PlannedSample, Int>>()
    private val attempts = HashMap<SampleIdentifier, Int>()

    override val remaining: Int get() = waiting.size + started.size

    override fun add(samples: List<PlannedSample>, now: Moment) {
        waiting.addAll(samples)
    }

    override fun next(supply: SlotSupply, now: Moment): StartSample? {
        if (supply.free <= 0) return null
        val sample = waiting.removeFirstOrNull() ?: return null
        val attempt = attempts.merge(sample.identifier, 1, Int::plus) ?: 1
        started[sample.identifier] = sample to attempt
        return StartSample(sample.identifier, attempt, false, sample.maximumTokens / 2.0, spread = false)
    }

    override fun onProgress(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    ): Unit = Unit

    override fun onFinished(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    ): List<CancelSample> {
        if (started[sample]?.second == attempt) {
            started.remove(sample)
            attempts.remove(sample)
        }
        return emptyList()
    }

    override fun onFailed(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    ) {
        if (started[sample]?.second == attempt) started.remove(sample)?.let { waiting.addFirst(it.first) }
    }
}
