package org.zinniahoist.policy.routing

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Selects the upstream for each attempt.
 *
 * An entry has one router per model or plain service. The router covers the upstreams in the subset of the entry.
 */
public interface Router {
    /** Adds an upstream, or updates its failure domain if it is already known. */
    public fun add(instance: InstanceName, failureDomain: FailureDomain)

    /** Removes an upstream that is no longer in the subset. */
    public fun remove(instance: InstanceName)

    /**
     * Stops or resumes routing to an upstream. An upstream is unavailable while it drains, is being removed or has no
     * open link.
     */
    public fun setAvailable(instance: InstanceName, available: Boolean)

    /** Selects an upstream for [request]. The calling code must report the dispatch with [onStart]. */
    public fun route(request: RoutingRequest, now: Moment, random: Random): RoutingDecision

    /** Records that an attempt was dispatched to [instance]. */
    public fun onStart(instance: InstanceName)

    /** Records that an attempt on [instance] ended with [outcome]. */
    public fun onEnd(instance: InstanceName, outcome: AttemptOutcome, now: Moment)

    /** Updates the load of [instance] from a response or heartbeat. */
    public fun onReport(instance: InstanceName, digest: LoadDigest, now: Moment)
}

/**
 * Routing parameters of an attempt.
 *
 * @property prefixHash hash of the prompt prefix, or null if the attempt can't use a prefix cache.
 * @property prefillSaving prefill time that a cached prefix saves.
 * @property expectedTime expected service time on the upstream, or zero if it is unknown.
 * @property excluded upstreams on which earlier attempts of the request ran.
 */
public data class RoutingRequest(
    public val prefixHash: Long? = null,
    public val prefillSaving: Duration = Duration.ZERO,
    public val excluded: Set<InstanceName> = emptySet(),
    public val expectedTime: Duration = Duration.ZERO,
)

/** Result of a routing decision. */
public sealed interface RoutingDecision {
    /**
     * The attempt is routed to [instance], with an estimated queueing delay of [estimatedWait]. [prefixShared] is true
     * if the instance was selected for its prefix cache.
     */
    public data class Routed(
        public val instance: InstanceName,
        public val estimatedWait: Duration,
        public val prefixShared: Boolean = false,
    ) : RoutingDecision

    /** No available upstream accepts the attempt. */
    public data object NoUpstream : RoutingDecision
}

/** Outcome of an attempt as a signal for the health of its upstream. */
public enum class AttemptOutcome {
    /** The upstream responded. */
    ANSWERED,

    /** The upstream or its link failed. */
    FAILED,

    /** The attempt was cancelled or refused, which is no signal for the health of the upstream. */
    NEUTRAL,
}
