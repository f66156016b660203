package org.zinniahoist.experiment.virtual

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.Verdict
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.admission.Origin
import org.zinniahoist.policy.routing.RoutingRequest
import org.zinniahoist.policy.sampling.StartSample
import org.zinniahoist.policy.staleness.DeliveryDecision
import org.zinniahoist.policy.staleness.RunDecision
import org.zinniahoist.policy.staleness.SampleForecast
import org.zinniahoist.policy.staleness.StartDecision
import java.util.Random
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Drafts the samples of one trainer at the entry that holds its lease. */
internal class TrainingSession(
    private val loop: EventLoop,
    private val seed: Long,
    private val scenario: Scenario,
    private val deployment: Deployment,
    policies: PolicySet,
    private val entry: VirtualEntry,
    private val trainer: VirtualTrainer,
    private val sidecars: List<VirtualSidecar>,
    private val measures: Measures,
) {
    private val scheduler = policies.scheduler()
    private val staleness = policies.staleness()
    private val sharesPrefixes = policies.sharesPrefixes
    private val running = LinkedHashMap<AttemptIdentifier, Running>()
    private val unfinished = HashMap<String, Int>()

    init {
        trainer.onStep = { samples ->
            samples.forEach { unfinished.merge(groupOf(it.identifier), 1, Int::plus) }
            scheduler.add(samples, loop.now)
            loop.after(Duration.ZERO) { pump() }
        }
        loop.every(TICK) { tick() }
    }

    private fun tick() {
        for (attempt in running.values.toList()) {
            val tokens = entry.tokensOf(attempt.attempt) ?: continue
            scheduler.onProgress(attempt.start.identifier, attempt.start.attempt, tokens, loop.now)
            val remaining = (attempt.start.expectedTokens - tokens).coerceAtLeast(MINIMUM_REMAINING_TOKENS)
            val forecast = forecast(attempt.version, remaining, attempt.start.expectedTokens)
            if (staleness.whileRunning(forecast) == RunDecision.ABANDON) {
                running.remove(attempt.attempt.identifier)
                entry.cancel(attempt.attempt)
                scheduler.onFailed(attempt.start.identifier, attempt.start.attempt, tokens, loop.now)
            }
        }
        pump()
    }

    private fun pump() {
        while (true) {
            val start = scheduler.next(entry.supply, loop.now) ?: return
            val forecast = forecast(newestServed(), start.expectedTokens, start.expectedTokens)
            if (!start.hedge && staleness.beforeStart(forecast) == StartDecision.WAIT_FOR_WEIGHTS) {
                return scheduler.onFailed(start.identifier, start.attempt, 0, loop.now)
            }
            if (!launch(start)) return
        }
    }

    private fun launch(start: StartSample): Boolean {
        val sample = start.identifier
        val group = groupOf(sample)
        val prefix = (trainer.name.value + group).hashCode().toLong()
        val attempt = VirtualAttempt(
            AttemptIdentifier("$sample/${start.attempt}"),
            Origin.Training(trainer.name, 1, group, unfinished[group] ?: 1),
            prefix,
            Sizes.SAMPLE_PROMPT_TOKENS,
            lengthOf(sample),
            start.expectedTokens,
            loop.now + Sizes.sampleBudget,
            onFirstToken = {},
            onEnd = { ended(start, it) },
        )
        if (start.hedge) measures.hedges += 1
        val hash = prefix.takeIf { sharesPrefixes && !start.spread }
        running[attempt.identifier] = Running(start, attempt, newestServed())
        return entry.start(
            attempt,
            RoutingRequest(
                hash,
                PREFILL_SAVING,
                expectedTime =
                SECONDS_PER_TOKEN * start.expectedTokens,
            ),
        ) !=
            null
    }

    private fun ended(start: StartSample, result: AttemptResult) {
        val sample = start.identifier
        running.remove(AttemptIdentifier("$sample/${start.attempt}")) ?: return
        val oldest = result.oldest
        if (result.verdict != Verdict.Completed || oldest == null) {
            return scheduler.onFailed(sample, start.attempt, result.tokens, loop.now)
        }
        if (staleness.atDelivery(oldest, trainer.version, deployment.terms) == DeliveryDecision.DRAFT_AGAIN) {
            measures.thrownAwayTokens += result.tokens
            return scheduler.onFailed(sample, start.attempt, result.tokens, loop.now)
        }
        scheduler.onFinished(sample, start.attempt, result.tokens, loop.now).forEach {
            running.remove(AttemptIdentifier("${it.identifier}/${it.attempt}"))?.let { loser ->
                entry.cancel(loser.attempt)
            }
        }
        val stale = trainer.version.number - oldest.number
        measures.onDelivered(sample, result.tokens, stale, deployment.terms.bound)
        unfinished.computeIfPresent(groupOf(sample)) { _, count -> if (count == 1) null else count - 1 }
        trainer.onSample(sample)
        pump()
    }

    private fun forecast(version: WeightVersion, remaining: Double, total: Double) = SampleForecast(
        trainer.version,
        version,
        SECONDS_PER_TOKEN * remaining,
        SECONDS_PER_TOKEN * total,
        trainer.untilNextWeights,
        scenario.trainingTime,
        deployment.terms,
    )

    private fun newestServed(): WeightVersion = sidecars.maxOf { it.versions.getValue(trainer.name) }

    /** All attempts of a sample have one length, as they use one sampling seed. Samples of a group are alike. */
    private fun lengthOf(sample: SampleIdentifier): Int {
        val ofGroup = Random(seed * PRIME + groupOf(sample).hashCode() + trainer.name.hashCode()).nextGaussian()
        val own = Random(seed * PRIME + sample.hashCode()).nextGaussian()
        val deviation = scenario.lengthDeviation
        val spread = deviation * (GROUP_PART * ofGroup + SAMPLE_PART * own) - deviation * deviation / 2
        return (Sizes.MEAN_SAMPLE_TOKENS * exp(spread)).toInt().coerceIn(2, Sizes.MAXIMUM_SAMPLE_TOKENS)
    }

    private fun groupOf(sample: SampleIdentifier) = "${sample.step}/${sample.group}"

    private class Running(
        val start: StartSample,
        val attempt: VirtualAttempt,
        val version: WeightVersion,
    )

    private companion object {
        val TICK = 500.milliseconds
        val PREFILL_SAVING = 95.milliseconds
        val SECONDS_PER_TOKEN = 0.022.seconds
        const val MINIMUM_REMAINING_TOKENS = 20.0
        const val PRIME = 1_000_003L

        // The squares of the parts add up to one.
        const val GROUP_PART = 0.8
        const val SAMPLE_PART = 0.6
    }
}
