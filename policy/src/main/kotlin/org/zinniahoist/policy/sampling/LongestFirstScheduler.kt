package org.zinniahoist.policy.sampling

import org.zinniahoist.model.Moment
import org.zinniahoist.model.SampleIdentifier

/**
 * Starts samples that may become long first, and hedges the last stragglers on idle slots.
 *
 * An attempt is hedged only if a new one is expected to finish well before it, as when its engine is crowded or silent.
 * Hedges must use the sampling seed of the first attempt. Otherwise short answers would win too often.
 */
public class LongestFirstScheduler(
    private val estimator: LengthEstimator = LearntLengthEstimator(),
    private val settings: SchedulerSettings = SchedulerSettings(),
) : SampleScheduler {
    private val waiting = WaitingSamples(estimator)
    private val running = LinkedHashMap<SampleIdentifier, RunningSample>()
    private val failures = HashMap<SampleIdentifier, Int>()
    private val budget = HedgeBudget(settings.thrownAwayShare)
    private var nextHedgeSearch: Moment? = null

    override val remaining: Int get() = waiting.size + running.size

    override fun add(samples: List<PlannedSample>, now: Moment) {
        samples.forEach(waiting::add)
    }

    override fun next(supply: SlotSupply, now: Moment): StartSample? {
        if (supply.free <= 0) return null
        val spread = waiting.size <= supply.idle
        val sample = waiting.removeFirst() ?: return hedge(supply, now)
        val started = RunningSample(sample)
        running[sample.identifier] = started
        return start(started, now, hedge = false, spread)
    }

    override fun onProgress(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    ) {
        val progressing = running[sample] ?: return
        progressing.attempt(attempt)?.tokens = tokens
        waiting.onProgress(keyOf(progressing.planned), tokens)
    }

    override fun onFinished(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    ): List<CancelSample> {
        val finished = running[sample]?.takeIf { it.attempt(attempt) != null } ?: return emptyList()
        running.remove(sample)
        failures.remove(sample)
        budget.onDelivered(tokens)
        budget.release(finished.reservedTokens)
        val key = keyOf(finished.planned)
        estimator.observe(key, tokens)
        waiting.onObserved(key)
        return finished.attempts.filter { it.number != attempt }.map { loser ->
            budget.onThrownAway(loser.tokens)
            CancelSample(sample, loser.number)
        }
    }

    override fun onFailed(
        sample: SampleIdentifier,
        attempt: Int,
        tokens: Int,
        now: Moment,
    ) {
        val failed = running[sample] ?: return
        if (!failed.attempts.removeIf { it.number == attempt }) return
        budget.onThrownAway(tokens)
        budget.release(failed.reservedTokens)
        failed.reservedTokens = 0.0
        failures.merge(sample, 1, Int::plus)
        if (failed.attempts.isNotEmpty()) return
        running.remove(sample)
        waiting.addAgain(failed.planned)
    }

    private fun start(
        sample: RunningSample,
        now: Moment,
        hedge: Boolean,
        spread: Boolean,
    ): StartSample {
        val identifier = sample.planned.identifier
        val number = 1 + (failures[identifier] ?: 0) + sample.attempts.size
        sample.attempts.add(RunningAttempt(number, now))
        val expected = estimator.estimate(keyOf(sample.planned), 0, sample.planned.maximumTokens).expected
        return StartSample(identifier, number, hedge, expected, spread)
    }

    private fun hedge(supply: SlotSupply, now: Moment): StartSample? {
        val due = nextHedgeSearch?.let { now >= it } ?: true
        if (!settings.hedging || !due) return null
        if (supply.idle <= 0 || supply.idlePace <= 0) return null
        val straggler = running.values
            .filter { it.attempts.size == 1 }
            .map { Straggler(it, supply.idlePace, now) }
            .filter { it.remainingSeconds > settings.hedgeGain * it.hedgeSeconds }
            .maxByOrNull { it.remainingSeconds }
        if (straggler == null || !budget.reserve(straggler.atRisk)) {
            nextHedgeSearch = now + settings.hedgeInterval
            return null
        }
        straggler.sample.reservedTokens = straggler.atRisk
        return start(straggler.sample, now, hedge = true, spread = true)
    }

    private inner class Straggler(
        val sample: RunningSample,
        idlePace: Double,
        now: Moment,
    ) {
        private val attempt = sample.attempts.single()
        private val pace = attempt.pace(now).coerceAtLeast(MINIMUM_PACE)
        private val expected =
            estimator.estimate(keyOf(sample.planned), attempt.tokens, sample.planned.maximumTokens).expected
        val remainingSeconds = (expected - attempt.tokens) / pace
        val hedgeSeconds = expected / idlePace

        /** Tokens that the loser has when the hedge wins, or that the hedge has when it loses. */
        val atRisk = maxOf(attempt.tokens + pace * hedgeSeconds, expected.coerceAtMost(idlePace * remainingSeconds))
    }

    private companion object {
        const val MINIMUM_PACE = 0.01
    }
}
