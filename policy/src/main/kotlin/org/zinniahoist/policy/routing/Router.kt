package org.zinniahoist.policy.routing

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Chooses the upstream for an attempt.
 *
 * One router serves one model or plain service of one entry and knows the upstreams of the entry's subset.
 */
public interface Router {
    /** Adds an upstream or replaces its failure domain. */
    public fun add(instance: InstanceName, failureDomain: FailureDomain)

    /** Forgets an upstream that left the subset. */
    public fun remove(instance: InstanceName)

    /** Stops or resumes new work for an upstream that drains, leaves or has no link. */
    public fun setAvailable(instance: InstanceName, available: Boolean)

    /** Chooses an upstream for [request]. The caller reports the start with [onStart]. */
    public fun route(request: RoutingRequest, now: Moment, random: Random): RoutingDecision

    /** Records that an attempt was sent to [instance]. */
    public fun onStart(instance: InstanceName)

    /** Records the end of an attempt that was sent to [instance]. */
    public fun onEnd(instance: InstanceName, outcome: AttemptOutcome, now: Moment)

    /** Records the load that a response or heartbeat of [instance] carried. */
    public fun onReport(instance: InstanceName, digest: LoadDigest, now: Moment)
}

/**
 * What a router needs to know about an attempt.
 *
 * @property prefixHash hash of the prompt's prefix, or null if no cache can be shared.
 * @property prefillSaving time that a cached prefix saves.
 * @property expectedTime time that the attempt is expected to spend on the upstream, or zero if it is not known.
 * @property excluded upstreams that earlier attempts of the request tried.
 */
public data class RoutingRequest(
    public val prefixHash: Long? = null,
    public val prefillSaving: Duration = Duration.ZERO,
    public val excluded: Set<InstanceName> = emptySet(),
    public val expectedTime: Duration = Duration.ZERO,
)

/** Result of a routing decision. */
public sealed interface RoutingDecision {
    /** The attempt goes to [instance], where it is expected to wait for [estimatedWait]. */
    public data class Routed(
        public val instance: InstanceName,
        public val estimatedWait: Duration,
        public val prefixShared: Boolean = false,
    ) : RoutingDecision

    /** No upstream can take the attempt. */
    public data object NoUpstream : RoutingDecision
}

/** How an attempt ended, as far as it tells about the upstream's condition. */
public enum class AttemptOutcome {
    /** The upstream answered. */
    ANSWERED,

    /** The upstream or its link failed. */
    FAILED,

    /** The attempt was cancelled or refused, which says nothing about the upstream's condition. */
    NEUTRAL,
}
