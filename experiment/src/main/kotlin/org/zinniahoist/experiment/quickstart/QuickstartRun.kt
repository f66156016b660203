package org.zinniahoist.experiment.quickstart

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withContext
import org.zinniahoist.standin.client.LiveCaller
import org.zinniahoist.standin.client.LiveOutcome
import org.zinniahoist.standin.client.TrainerClient
import org.zinniahoist.standin.client.TrainerGroup
import org.zinniahoist.standin.client.TrainerTally
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** A trainer that runs steps while live callers stream answers and confirm orders, and weights change under both. */
internal class QuickstartRun(
    private val cluster: QuickstartCluster,
    private val plan: QuickstartPlan,
    private val input: QuickstartInput,
    private val stop: AtomicBoolean,
) {
    private val tally = TrainerTally(QuickstartTree.STALENESS_BOUND.toLong())
    private val trainer = TrainerClient(cluster.entries, QuickstartTree.TRAINER_TOKEN, QuickstartTree.TRAINER, tally)
    private val caller = LiveCaller(cluster.entries, QuickstartTree.CALLER_TOKEN, QuickstartTree.MODEL)
    private val trainingDone = AtomicBoolean()
    private var waiting = Duration.ZERO
    private var training = Duration.ZERO
    private var missing = 0
    private var startedSteps = 0

    suspend fun run(): QuickstartReport = coroutineScope {
        val streams = async(Dispatchers.IO) { streamAnswers() }
        val orders = async(Dispatchers.IO) { confirmOrders() }
        withContext(Dispatchers.IO) { train() }
        trainingDone.set(true)
        QuickstartReport(
            expectedSamples = startedSteps * plan.groupsPerStep * plan.samplesPerGroup,
            tally = tally,
            missingSamples = missing,
            waiting = waiting,
            training = training,
            streams = streams.await(),
            orders = orders.await(),
            repeatedExecutions = cluster.service.repeatedExecutions().size,
            executions = cluster.service.executions.size,
            tokensGenerated = cluster.engines.sumOf { it.generatedTokens },
        )
    }

    private suspend fun train() {
        trainer.announceVersion(1)
        for (step in 1..plan.steps) {
            // A step that was started is finished, because an entry waits at its stop for samples to be fetched.
            if (stop.get()) return
            startedSteps++
            val groups = List(plan.groupsPerStep) { index ->
                val prompt = input.prompts[(step * plan.groupsPerStep + index) % input.prompts.size]
                TrainerGroup(prompt.prompt, plan.samplesPerGroup, prompt.maximumTokens)
            }
            val submitted = TimeSource.Monotonic.markNow()
            trainer.submit(step.toLong(), groups)
            missing += trainer.collect(step.toLong())
            waiting += submitted.elapsedNow()
            val trained = TimeSource.Monotonic.markNow()
            delay(TRAINING_TIME)
            training += trained.elapsedNow()
            trainer.announceVersion(step + 1L)
        }
    }

    private suspend fun streamAnswers(): List<LiveOutcome> {
        val outcomes = mutableListOf<LiveOutcome>()
        while (!trainingDone.get()) {
            val prompt = input.prompts[outcomes.size % input.prompts.size].prompt
            outcomes += caller.complete(prompt, LIVE_TOKENS, seed = outcomes.size.toLong()).await()
        }
        return outcomes
    }

    /** Each order is confirmed twice at the same time under one key, as by a caller that repeats a slow request. */
    private suspend fun confirmOrders(): List<LiveOutcome> = coroutineScope {
        input.confirmations.flatMap { order ->
            delay(ORDER_INTERVAL)
            val pair = List(2) {
                async { caller.post(order.service, order.path, order.body.toString(), order.key).await() }
            }
            pair.map { it.await() }
        }
    }

    private companion object {
        val TRAINING_TIME = 1_000.milliseconds
        val ORDER_INTERVAL = 100.milliseconds
        const val LIVE_TOKENS = 64
    }
}
