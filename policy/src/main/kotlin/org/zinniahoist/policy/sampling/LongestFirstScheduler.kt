package org.zinniahoist.policy.sampling

import org.zinniahoist.model.Moment
import org.zinniahoist.model.SampleIdentifier

/**
 * Starts the samples with the longest estimated lengths first, and hedges the last stragglers on idle slots.
 *
 * An attempt is hedged only if a new attempt is expected to complete well before it, for example because its engine is
 * overloaded or unresponsive. Hedges must use the sampling seed of the first attempt. Otherwise the first attempt to
 * complete would be the shorter of two different samples, which biases the lengths.
 */
public class LongestFirstScheduler(
    private val estimator: LengthEstimator = LogNormalLengthEstimator(),
    private val settings: SchedulerSettings = SchedulerSettings(),
) : SampleScheduler {
    private val waiting = WaitingSamples(estimator)
    private val running = LinkedHashMap<SampleIdentifier, RunningSample>()
    private val failures = HashMap<SampleIdentifier, Int>()
    private val budget = HedgeBudget(settings.discardedShare)
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
        val progressed = running[sample] ?: return
        progressed.attempt(attempt)?.tokens = tokens
        waiting.onProgress(groupKeyOf(progressed.planned), tokens)
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
        val key = groupKeyOf(finished.planned)
        estimator.observe(key, tokens)
        waiting.onObserved(key)
        return finished.attempts.filter { it.number != attempt }.map { loser ->
            budget.onDiscarded(loser.tokens)
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
        budget.onDiscarded(tokens)
        budget.release(failed.reservedTokens)
        failed.reservedTokens = 0.0
        failures.merge(sample, 1, Int::plus)
        if (failed.attempts.isNotEmpty()) return
        running.remove(sample)
        waiting.requeue(failed.planned)
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
        val expected = estimator.estimate(groupKeyOf(sample.planned), 0, sample.planned.maximumTokens).expected
        return StartSample(identifier, number, hedge, expected, spread)
    }

    private fun hedge(supply: SlotSupply, now: Moment): StartSample? {
        val searchDue = nextHedgeSearch?.let { now >= it } ?: true
        if (!settings.hedging || !searchDue) return null
        if (supply.idle <= 0 || supply.idleTokenRate <= 0) return null
        val straggler = running.values
            .filter { it.attempts.size == 1 }
            .map { Straggler(it, supply.idleTokenRate, now) }
            .filter { it.remainingSeconds > settings.minimumHedgeSpeedup * it.hedgeSeconds }
            .maxByOrNull { it.remainingSeconds }
        if (straggler == null || !budget.reserve(straggler.wastedTokens)) {
            nextHedgeSearch = now + settings.hedgeSearchInterval
            return null
        }
        straggler.sample.reservedTokens = straggler.wastedTokens
        return start(straggler.sample, now, hedge = true, spread = true)
    }

    private inner class Straggler(
        val sample: RunningSample,
        idleTokenRate: Double,
        now: Moment,
    ) {
        private val attempt = sample.attempts.single()
        private val tokenRate = attempt.tokenRate(now).coerceAtLeast(MINIMUM_TOKEN_RATE)
        private val expected =
            estimator.estimate(groupKeyOf(sample.planned), attempt.tokens, sample.planned.maximumTokens).expected
        val remainingSeconds = (expected - attempt.tokens) / tokenRate
        val hedgeSeconds = expected / idleTokenRate

        /** Maximum of the tokens wasted if the hedge wins and of those wasted if it loses. */
        val wastedTokens = maxOf(
            attempt.tokens + tokenRate * hedgeSeconds,
            expected.coerceAtMost(idleTokenRate * remainingSeconds),
        )
    }

    private companion object {
        const val MINIMUM_TOKEN_RATE = 0.01
    }
}
