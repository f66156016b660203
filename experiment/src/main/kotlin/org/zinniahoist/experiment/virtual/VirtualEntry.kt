package org.zinniahoist.experiment.virtual

import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.FailureReason
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.RefusalReason
import org.zinniahoist.model.Verdict
import org.zinniahoist.policy.admission.Origin
import org.zinniahoist.policy.retry.EndedAttempt
import org.zinniahoist.policy.retry.RetryDecision
import org.zinniahoist.policy.retry.TokenBucketRetryBudget
import org.zinniahoist.policy.routing.AttemptOutcome
import org.zinniahoist.policy.routing.LoadDigest
import org.zinniahoist.policy.routing.RoutingDecision
import org.zinniahoist.policy.routing.RoutingRequest
import org.zinniahoist.policy.sampling.SlotSupply
import org.zinniahoist.policy.sampling.freeSlots
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An entry that routes attempts over its links. */
internal class VirtualEntry(
    private val loop: EventLoop,
    private val random: Random,
    private val policies: PolicySet,
    private val measures: Measures,
    private val deployment: Deployment,
    private val failureDomain: FailureDomain,
    sidecars: List<VirtualSidecar>,
) : VirtualLink.Listener {
    private val router = policies.router(failureDomain)
    private val budget = TokenBucketRetryBudget()
    private val retry = policies.retry(budget)
    val links: Map<InstanceName, VirtualLink> = sidecars.associate {
        val latency = if (it.failureDomain == failureDomain) LOCAL_LATENCY else deployment.domainLatency
        router.add(it.instance, it.failureDomain)
        it.instance to VirtualLink(loop, policies, it, latency, this)
    }

    val supply: SlotSupply
        get() {
            val open = links.values.filter { usable(it) && it.digest != null }
            val free = open.sumOf { freeSlots(it.digest!!, it.inFlight.size, it.inFlightAtReport) }
            val idle = open.filter { it.digest!!.waiting == 0 }.sumOf {
                (it.digest!!.concurrencyLimit / 2 - it.digest!!.running).coerceAtLeast(0)
            }
            return SlotSupply(free, idle, IDLE_PACE)
        }

    fun start(attempt: VirtualAttempt, request: RoutingRequest): InstanceName? {
        val routed = router.route(request, loop.now, random) as? RoutingDecision.Routed
        if (routed == null) {
            attempt.onEnd(AttemptResult(Verdict.NotRun(RefusalReason.NO_UPSTREAM)))
            return null
        }
        val link = links.getValue(routed.instance)
        router.onStart(routed.instance)
        link.inFlight[attempt.identifier] = attempt
        link.send {
            link.sidecar.receive(attempt, { link.send { attempt.onFirstToken() } }) { result ->
                link.send { end(link, attempt, result, outcomeOf(result)) }
            }
        }
        loop.after(attempt.deadline - loop.now) {
            end(
                link,
                attempt,
                AttemptResult(Verdict.MayHaveRun(FailureReason.DEADLINE_EXCEEDED)),
                AttemptOutcome.FAILED,
            )
        }
        return routed.instance
    }

    /** Cancels an attempt without a call of its `onEnd`. Its tokens count as thrown away. */
    fun cancel(attempt: VirtualAttempt) {
        val link = links.values.find { it.inFlight.remove(attempt.identifier) != null } ?: return
        router.onEnd(link.sidecar.instance, AttemptOutcome.NEUTRAL, loop.now)
        link.send { throwAway(attempt, link.sidecar.cancel(attempt.identifier)) }
    }

    fun tokensOf(attempt: VirtualAttempt): Int? =
        links.values.find { attempt.identifier in it.inFlight }?.sidecar?.tokensOf(attempt.identifier)

    fun live(number: Int, prefix: Long, tokens: Int) {
        measures.liveRequests += 1
        budget.onRequest()
        LiveCall(number, prefix, tokens).attempt(1, emptySet())
    }

    fun updateAvailability(sidecar: VirtualSidecar) {
        router.setAvailable(sidecar.instance, usable(links.getValue(sidecar.instance)))
    }

    override fun onReport(link: VirtualLink, digest: LoadDigest) =
        router.onReport(link.sidecar.instance, digest, loop.now)

    override fun onClosed(link: VirtualLink, lost: List<VirtualAttempt>) {
        updateAvailability(link.sidecar)
        lost.forEach {
            router.onEnd(link.sidecar.instance, AttemptOutcome.NEUTRAL, loop.now)
            val tokens = link.sidecar.cancel(it.identifier)
            throwAway(it, tokens)
            it.onEnd(AttemptResult(Verdict.MayHaveRun(FailureReason.LINK_LOST)))
        }
    }

    override fun onOpened(link: VirtualLink) = updateAvailability(link.sidecar)

    private fun usable(link: VirtualLink): Boolean =
        link.open && (!policies.takesSwappingOut || link.sidecar.swaps == 0)

    private fun throwAway(attempt: VirtualAttempt, tokens: Int) {
        if (attempt.origin != Origin.Live) measures.thrownAwayTokens += tokens
    }

    private fun end(
        link: VirtualLink,
        attempt: VirtualAttempt,
        result: AttemptResult,
        outcome: AttemptOutcome,
    ) {
        link.inFlight.remove(attempt.identifier) ?: return
        router.onEnd(link.sidecar.instance, outcome, loop.now)
        link.report(link.sidecar.digest)
        if (result.verdict is Verdict.MayHaveRun) {
            link.send {
                throwAway(attempt, link.sidecar.cancel(attempt.identifier))
            }
        }
        if (result.verdict != Verdict.Completed) throwAway(attempt, result.tokens)
        attempt.onEnd(result)
    }

    private fun outcomeOf(result: AttemptResult): AttemptOutcome = when (val verdict = result.verdict) {
        Verdict.Completed -> AttemptOutcome.ANSWERED
        is Verdict.MayHaveRun -> AttemptOutcome.FAILED
        is Verdict.NotRun ->
            if (verdict.reason == RefusalReason.NO_UPSTREAM) AttemptOutcome.FAILED else AttemptOutcome.NEUTRAL
    }

    private inner class LiveCall(
        private val number: Int,
        private val prefix: Long,
        private val tokens: Int,
    ) {
        private val arrival = loop.now
        private val deadline = arrival + Sizes.liveBudget
        private var answered = false

        fun attempt(count: Int, tried: Set<InstanceName>) {
            var instance: InstanceName? = null
            val attempt = VirtualAttempt(
                AttemptIdentifier("live-$number-$count"),
                Origin.Live,
                prefix,
                Sizes.LIVE_PROMPT_TOKENS,
                tokens,
                Sizes.MEAN_LIVE_TOKENS,
                deadline,
                onFirstToken = ::firstToken,
                onEnd = { ended(it, count, tried + setOfNotNull(instance)) },
            )
            val hash = prefix.takeIf { policies.sharesPrefixes }
            instance = start(attempt, RoutingRequest(hash, LIVE_PREFILL_SAVING, tried, LIVE_TIME))
        }

        private fun firstToken() {
            if (!answered) measures.onFirstToken(loop.now - arrival + deployment.clientLatency * 2)
            answered = true
        }

        private fun ended(result: AttemptResult, count: Int, tried: Set<InstanceName>) {
            if (result.verdict == Verdict.Completed) return
            val ended = EndedAttempt(result.verdict, true, count, tried, deadline, result.retryAfter)
            when (val decision = retry.decide(ended, loop.now, random)) {
                is RetryDecision.Retry -> loop.after(decision.delay) { attempt(count + 1, decision.excluded) }
                is RetryDecision.GiveUp ->
                    if (result.verdict is Verdict.NotRun) measures.refusals += 1 else measures.failures += 1
            }
        }
    }

    private companion object {
        val LOCAL_LATENCY = 100.milliseconds / 1_000
        val LIVE_TIME = 2.seconds
        val LIVE_PREFILL_SAVING = 25.milliseconds

        /** Tokens per second of an attempt on an engine with a small batch. */
        const val IDLE_PACE = 80.0
    }
}
