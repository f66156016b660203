package org.zinniahoist.experiment.virtual

import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.TrainerName
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One deployment under one scenario with one seed. */
internal class VirtualRun(
    private val deployment: Deployment,
    private val scenario: Scenario,
    private val seed: Long,
    private val policies: PolicySet,
    private val withTrainers: Boolean = true,
) {
    private val loop = EventLoop()
    private val random = Random(seed)
    private val measures = Measures()
    private val sidecars = List(Sizes.SAMPLERS) {
        val domain = deployment.domains[it % deployment.domains.size]
        VirtualSidecar(loop, InstanceName("sampler-$it"), domain, policies)
    }
    private val entries = deployment.domains.map {
        VirtualEntry(loop, Random(random.nextLong()), policies, measures, deployment, it, sidecars)
    }
    private val rollouts = ArrayList<VirtualRollout>()
    private var liveCalls = 0

    fun run(duration: Duration): Map<Measure, Double> {
        val trainers = List(if (withTrainers) Sizes.TRAINERS else 0, ::trainer)
        nextLiveCall()
        faults()
        loop.run(Moment.ZERO + duration)
        trainers.forEach { it.finish() }
        return measures.result()
    }

    private fun trainer(index: Int): VirtualTrainer {
        val trainer = VirtualTrainer(loop, TrainerName("trainer-$index"), scenario, measures)
        val rollout = VirtualRollout(loop, policies, trainer.name, sidecars.associateBy { it.instance }, entries)
        rollouts.add(rollout)
        rollout.onSwapped = { rollouts.forEach { it.proceed() } }
        trainer.onVersion = rollout::begin
        val entry = entries[index % entries.size]
        TrainingSession(loop, seed, scenario, deployment, policies, entry, trainer, sidecars, measures)
        trainer.submit()
        return trainer
    }

    private fun nextLiveCall() {
        val minute = (loop.now - Moment.ZERO).inWholeMinutes
        val factor = if (scenario.burst && minute % BURST_PERIOD_MINUTES == 2L) Sizes.BURST_FACTOR else 1.0
        val gap = -ln(1 - random.nextDouble()) / (Sizes.LIVE_REQUESTS_PER_SECOND * factor)
        loop.after(gap.seconds) {
            val tokens = 2 - (Sizes.MEAN_LIVE_TOKENS * ln(1 - random.nextDouble())).toInt()
            val prefix = -1 - random.nextLong(Sizes.LIVE_PREFIXES.toLong())
            entries[random.nextInt(entries.size)].live(liveCalls++, prefix, tokens)
            nextLiveCall()
        }
    }

    private fun faults() = loop.after(Sizes.FAULT_START_SECONDS.seconds) {
        when (scenario) {
            Scenario.ENGINE_CRASH -> loop.every(CRASH_PERIOD) {
                sidecars[random.nextInt(sidecars.size)].crash(DOWNTIME)
            }
            Scenario.SILENT_LINK -> loop.every(SILENCE_PERIOD) {
                entries[random.nextInt(entries.size)].links.values.random(random).goSilent()
            }
            Scenario.FAILURE_DOMAIN_CUT -> cut()
            Scenario.STEADY, Scenario.BURST, Scenario.HEAVY_TAIL, Scenario.FREQUENT_WEIGHTS -> Unit
        }
    }

    private fun cut() {
        val domain = deployment.domains.last()
        entries.forEachIndexed { index, entry ->
            val inside = deployment.domains[index] == domain
            entry.links.values.filter { (it.sidecar.failureDomain == domain) != inside }.forEach { it.cutFor(CUT) }
        }
    }

    private companion object {
        const val BURST_PERIOD_MINUTES = 5L
        val CRASH_PERIOD = 300.seconds
        val DOWNTIME = 60.seconds
        val SILENCE_PERIOD = 120.seconds
        val CUT = 120.seconds
    }
}
