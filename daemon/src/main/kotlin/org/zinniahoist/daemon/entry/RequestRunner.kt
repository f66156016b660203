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

/** Receives the response of a request from its successive attempts. */
internal interface ResponseSink {
    /** Number of tokens that are final; the next attempt resumes after them. */
    val deliveredTokens: Int

    /** Whether another attempt can resume the response after [deliveredTokens]. */
    val canContinue: Boolean

    suspend fun onChunk(chunk: AttemptMessage.AttemptChunk)

    /** Called when an attempt ends before the response is complete. Discards chunks that are not final. */
    fun onAttemptFailed()
}

/** Runs requests on sidecars and retries failed attempts as the retry policy allows. */
internal class RequestRunner(
    private val links: SidecarLinks,
    private val retry: RetryPolicy,
    private val budget: RetryBudget,
    private val events: EventRecorder,
    private val clock: () -> Moment,
    private val random: Random,
) {
    /** Runs [plan] until an attempt completes or no further attempt is allowed; returns the end of the last attempt. */
    suspend fun run(plan: RequestPlan, sink: ResponseSink): AttemptEvent.Ended {
        synchronized(budget) { budget.onRequest() }
        val triedInstances = LinkedHashSet<InstanceName>()
        var attempts = 0
        while (true) {
            attempts += 1
            val end = attemptOnce(plan, sink, triedInstances)
            if (end.verdict is Verdict.Completed) return end
            sink.onAttemptFailed()
            val ended =
                EndedAttempt(end.verdict, plan.idempotent, attempts, triedInstances, plan.deadline, end.retryAfter)
            val decision = synchronized(retry) { retry.decide(ended, clock(), random) }
            if (decision !is RetryDecision.Retry || !sink.canContinue) return end
            delay(decision.delay)
        }
    }

    private suspend fun attemptOnce(
        plan: RequestPlan,
        sink: ResponseSink,
        triedInstances: MutableSet<InstanceName>,
    ): AttemptEvent.Ended {
        val remaining = plan.deadline - clock()
        if (!remaining.isPositive()) return refused(RefusalReason.DEADLINE_EXCEEDED)
        val instance = links.route(plan.target, RoutingRequest(plan.prefixHash, excluded = triedInstances.toSet()))
            ?: return refused(RefusalReason.NO_UPSTREAM)
        val identifier = AttemptIdentifier(UUID.randomUUID().toString())
        val attempt = links.start(instance) { echo -> startMessage(plan, identifier, echo, sink.deliveredTokens) }
        if (attempt == null) {
            links.onEnd(plan.target, instance, AttemptOutcome.NEUTRAL)
            return refused(RefusalReason.NO_UPSTREAM, "link closed before the start")
        }
        triedInstances += instance
        events.record("attempt-start", "request" to plan.request, "attempt" to identifier, "instance" to instance)
        var end: AttemptEvent.Ended? = null
        try {
            end = withTimeoutOrNull(remaining) { relay(attempt, sink) }
                ?: AttemptEvent.Ended(Verdict.MayHaveRun(FailureReason.DEADLINE_EXCEEDED))
        } finally {
            if (end == null || (end.verdict as? Verdict.MayHaveRun)?.reason in STILL_RUNNING_REASONS) attempt.cancel()
            links.finish(plan.target, attempt, end?.let(::outcome) ?: AttemptOutcome.NEUTRAL)
            events.record("attempt-end", "request" to plan.request, "attempt" to identifier, "verdict" to end?.verdict)
        }
        return end
    }

    private suspend fun relay(attempt: Attempt, sink: ResponseSink): AttemptEvent.Ended {
        while (true) {
            when (val event = attempt.next()) {
                is AttemptEvent.Chunk -> sink.onChunk(event.content)
                is AttemptEvent.Ended -> return event
            }
        }
    }

    private fun startMessage(
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
        is Verdict.MayHaveRun -> if (verdict.reason in FAULT_REASONS) AttemptOutcome.FAILED else AttemptOutcome.NEUTRAL
    }

    private fun refused(reason: RefusalReason, detail: String = "") = AttemptEvent.Ended(Verdict.NotRun(reason, detail))

    private companion object {
        val STILL_RUNNING_REASONS = setOf(FailureReason.DEADLINE_EXCEEDED, FailureReason.INCOMPLETE_ANSWER)
        val FAULT_REASONS = setOf(
            FailureReason.LINK_LOST,
            FailureReason.UPSTREAM_CRASHED,
            FailureReason.UPSTREAM_SILENT,
            FailureReason.INCOMPLETE_ANSWER,
        )
    }
}
