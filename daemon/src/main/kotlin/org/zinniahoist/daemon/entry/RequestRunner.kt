package org.zinniahoist.daemon.entry

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.zinniahoist.daemon.timeline.EventRecorder
import org.zinniahoist.daemon.timeline.record
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import org.zinniahoist.policy.retry.EndedAttempt
import org.zinniahoist.policy.retry.RetryBudget
import org.zinniahoist.policy.retry.RetryDecision
import org.zinniahoist.policy.retry.RetryPolicy
import org.zinniahoist.policy.routing.AttemptOutcome
import org.zinniahoist.policy.routing.RoutingRequest
import org.zinniahoist.wire.AttemptMessage
import java.util.UUID
import kotlin.random.Random

/** Receives the answer of a request from the attempts at it. */
internal interface AnswerSink {
    /** Tokens that the caller has received for good; the next attempt continues after them. */
    val deliveredTokens: Int

    /** Whether the next attempt can start where this one ended. */
    val canContinue: Boolean

    suspend fun onChunk(chunk: AttemptMessage.AttemptChunk)

    /** An attempt ended without a whole answer. Discards what the caller has not received. */
    fun onAttemptFailed()
}

/** Runs requests on sidecars with retries. */
internal class RequestRunner(
    private val links: SidecarLinks,
    private val retry: RetryPolicy,
    private val budget: RetryBudget,
    private val events: EventRecorder,
    private val clock: () -> Moment,
    private val random: Random,
) {
    /** Runs [plan] until an attempt completes or no other one is allowed. */
    suspend fun run(plan: RequestPlan, sink: AnswerSink): AttemptEvent.Ended {
        synchronized(budget) { budget.onRequest() }
        val tried = LinkedHashSet<InstanceName>()
        var attempts = 0
        while (true) {
            attempts += 1
            val end = attemptOnce(plan, sink, tried)
            if (end.verdict is Verdict.Completed) return end
            sink.onAttemptFailed()
            val ended = EndedAttempt(end.verdict, plan.idempotent, attempts, tried, plan.deadline, end.retryAfter)
            val decision = synchronized(retry) { retry.decide(ended, clock(), random) }
            if (decision !is RetryDecision.Retry || !sink.canContinue) return end
            delay(decision.delay)
        }
    }

    private suspend fun attemptOnce(
        plan: RequestPlan,
        sink: AnswerSink,
        tried: MutableSet<InstanceName>,
    ): AttemptEvent.Ended {
        val remaining = plan.deadline - clock()
        if (!remaining.isPositive()) return refused(RefusalReason.DEADLINE_EXCEEDED)
        val instance = links.route(plan.target, RoutingRequest(plan.prefixHash, excluded = tried.toSet()))
            ?: return refused(RefusalReason.NO_UPSTREAM)
        val identifier = AttemptIdentifier(UUID.randomUUID().toString())
        val attempt = links.start(instance) { echo -> start(plan, identifier, echo, sink.deliveredTokens) }
        if (attempt == null) {
            links.onEnd(plan.target, instance, AttemptOutcome.NEUTRAL)
            return refused(RefusalReason.NO_UPSTREAM, "link closed before the start")
        }
        tried += instance
        events.record("attempt-start", "request" to plan.request, "attempt" to identifier, "instance" to instance)
        var end: AttemptEvent.Ended? = null
        try {
            end = withTimeoutOrNull(remaining) { relay(attempt, sink) }
                ?: AttemptEvent.Ended(Verdict.MayHaveRun(FailureReason.DEADLINE_EXCEEDED))
        } finally {
            if (end == null || (end.verdict as? Verdict.MayHaveRun)?.reason in UNFINISHED) attempt.cancel()
            links.finish(plan.target, attempt, end?.let(::outcome) ?: AttemptOutcome.NEUTRAL)
            events.record("attempt-end", "request" to plan.request, "attempt" to identifier, "verdict" to end?.verdict)
        }
        return end
    }

    private suspend fun relay(attempt: Attempt, sink: AnswerSink): AttemptEvent.Ended {
        while (true) {
            when (val event = attempt.next()) {
                is AttemptEvent.Chunk -> sink.onChunk(event.content)
                is AttemptEvent.Ended -> return event
            }
        }
    }

    private fun start(
        plan: RequestPlan,
        attempt: AttemptIdentifier,
        echo: Long,
        tokens: Int,
    ) = AttemptMessage.StartAttempt(
        attempt = attempt,
        request = plan.request,
        heartbeatEcho = echo,
        budgetMilliseconds = (plan.deadline - clock()).inWholeMilliseconds,
        origin = plan.origin,
        call = plan.callFrom(tokens),
        fingerprint = plan.fingerprint,
        idempotency = plan.idempotency,
        traceParent = plan.traceParent,
    )

    private fun outcome(end: AttemptEvent.Ended): AttemptOutcome = when (val verdict = end.verdict) {
        Verdict.Completed -> AttemptOutcome.ANSWERED
        is Verdict.NotRun -> AttemptOutcome.NEUTRAL
        is Verdict.MayHaveRun -> if (verdict.reason in FAULTS) AttemptOutcome.FAILED else AttemptOutcome.NEUTRAL
    }

    private fun refused(reason: RefusalReason, detail: String = "") = AttemptEvent.Ended(Verdict.NotRun(reason, detail))

    private companion object {
        val UNFINISHED = setOf(FailureReason.DEADLINE_EXCEEDED, FailureReason.INCOMPLETE_ANSWER)
        val FAULTS = setOf(
            FailureReason.LINK_LOST,
            FailureReason.UPSTREAM_CRASHED,
            FailureReason.UPSTREAM_SILENT,
            FailureReason.INCOMPLETE_ANSWER,
        )
    }
}
