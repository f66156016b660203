package org.zinniahoist.experiment.virtual

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.TrainerName
import org.zinniahoist.model.Verdict
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.admission.OfferResult
import org.zinniahoist.policy.admission.Origin
import org.zinniahoist.policy.admission.QueuedAttempt
import org.zinniahoist.policy.admission.Slots
import org.zinniahoist.policy.routing.LoadDigest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** An attempt on its way from an entry to an engine. */
internal class VirtualAttempt(
    val identifier: AttemptIdentifier,
    val origin: Origin,
    val prefix: Long,
    val promptTokens: Int,
    val outputTokens: Int,
    val expectedTokens: Double,
    val deadline: Moment,
    val onFirstToken: () -> Unit,
    val onEnd: (AttemptResult) -> Unit,
)

/** End of an attempt. [oldest] is the version at the start, as the engine never goes back. */
internal class AttemptResult(
    val verdict: Verdict,
    val tokens: Int = 0,
    val oldest: WeightVersion? = null,
    val retryAfter: Duration = Duration.ZERO,
)

/** A sidecar and its engine. */
internal class VirtualSidecar(
    private val loop: EventLoop,
    val instance: InstanceName,
    val failureDomain: FailureDomain,
    policies: PolicySet,
) {
    val engine = VirtualEngine(loop)
    val versions = HashMap<TrainerName, WeightVersion>()
    var swaps = 0
    private val queue = policies.queue()
    private val limiter = policies.limiter()
    private val held = LinkedHashMap<AttemptIdentifier, Held>()
    private var reportedTokens = 0.0

    init {
        loop.every(TICK) { tick() }
    }

    val digest: LoadDigest
        get() = LoadDigest(engine.running, queue.size, limiter.limit, serviceMilliseconds())

    fun receive(attempt: VirtualAttempt, onFirstToken: () -> Unit, reply: (AttemptResult) -> Unit) {
        if (!engine.alive) return reply(AttemptResult(Verdict.NotRun(RefusalReason.NO_UPSTREAM)))
        val expected = engine.stepTime * attempt.expectedTokens
        val queued = QueuedAttempt(attempt.identifier, attempt.origin, expected, attempt.deadline)
        when (val result = queue.offer(queued, loop.now)) {
            is OfferResult.Refused ->
                reply(AttemptResult(Verdict.NotRun(result.reason), retryAfter = result.retryAfter))
            OfferResult.Queued -> {
                held[attempt.identifier] = Held(attempt, loop.now, onFirstToken, reply)
                pump()
            }
        }
    }

    /** Ends an attempt without a reply and returns the tokens that it has produced. */
    fun cancel(identifier: AttemptIdentifier): Int {
        val attempt = held.remove(identifier) ?: return 0
        val running = attempt.engineAttempt
        if (running == null) {
            queue.cancel(identifier)
            return 0
        }
        val tokens = engine.cancel(running)
        ended(attempt)
        return tokens
    }

    fun tokensOf(identifier: AttemptIdentifier): Int = held[identifier]?.engineAttempt?.let(engine::tokensOf) ?: 0

    fun crash(downtime: Duration) {
        val running = held.values.filter { it.engineAttempt != null }.map { it to tokensOf(it.attempt.identifier) }
        engine.crash(downtime)
        running.forEach { (lost, tokens) ->
            held.remove(lost.attempt.identifier)
            lost.reply(AttemptResult(Verdict.MayHaveRun(FailureReason.UPSTREAM_CRASHED), tokens))
            ended(lost)
        }
    }

    private fun serviceMilliseconds(): Double {
        val tokens = held.values.sumOf { it.attempt.expectedTokens } / held.size.coerceAtLeast(1)
        return (engine.stepTime * tokens).toDouble(DurationUnit.MILLISECONDS)
    }

    private fun pump() {
        while (engine.alive) {
            val slots = with(limiter) { Slots(engine.running, limit, trainingLimit, engine.starting, startingLimit) }
            val next = queue.poll(slots, loop.now) ?: return
            start(held.getValue(next.identifier), next)
        }
    }

    private fun start(attempt: Held, queued: QueuedAttempt) {
        val started = loop.now
        attempt.queued = queued
        attempt.startedAt = started
        val trainer = (attempt.attempt.origin as? Origin.Training)?.trainer
        val version = trainer?.let { versions[it] }
        val onFirstToken = {
            if (attempt.attempt.origin == Origin.Live) limiter.onLiveFirstToken(loop.now - attempt.arrivedAt, loop.now)
            attempt.onFirstToken()
            pump()
        }
        val running = with(attempt.attempt) {
            EngineAttempt(prefix, promptTokens, outputTokens, onFirstToken) { finished(attempt, version) }
        }
        attempt.engineAttempt = running
        engine.submit(running)
    }

    private fun finished(attempt: Held, version: WeightVersion?) {
        held.remove(attempt.attempt.identifier) ?: return
        attempt.reply(AttemptResult(Verdict.Completed, attempt.attempt.outputTokens, version))
        ended(attempt)
    }

    private fun ended(attempt: Held) {
        attempt.queued?.let { queue.onEnd(it, loop.now - attempt.startedAt, loop.now) }
        pump()
    }

    private fun tick() {
        val tokens = engine.tokensProduced - reportedTokens
        reportedTokens = engine.tokensProduced
        limiter.onTokens(tokens.toInt(), engine.running, loop.now)
        queue.expire(loop.now).forEach {
            held.remove(it.identifier)?.reply(AttemptResult(Verdict.NotRun(RefusalReason.DEADLINE_EXCEEDED)))
        }
        pump()
    }

    private class Held(
        val attempt: VirtualAttempt,
        val arrivedAt: Moment,
        val onFirstToken: () -> Unit,
        val reply: (AttemptResult) -> Unit,
    ) {
        var queued: QueuedAttempt? = null
        var engineAttempt: EngineAttempt? = null
        var startedAt = Moment.ZERO
    }

    private companion object {
        val TICK = 200.milliseconds
    }
}
