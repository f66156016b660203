package org.zinniahoist.policy.live

import org.zinniahoist.model.Moment
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WorkspaceName
import kotlin.time.Duration

/** A live request at one entry. Compared by identity. */
public class LiveRequest(
    public val service: ServiceName,
    /** Priority of the request. 0 is the highest. */
    public val priority: Int,
    public val workspace: WorkspaceName?,
    /** Latency objective of the route. */
    public val target: Duration,
    /** Moment until which the response has its full value. */
    public val targetEnd: Moment,
)

/** Upstreams of a service that accept requests, and their slots together. */
public data class ServiceCapacity(
    public val upstreams: Int,
    public val slots: Int,
)

/** What becomes of a request that has arrived. */
public sealed interface AdmissionDecision {
    /** The request holds a place and may be sent. */
    public data object Admitted : AdmissionDecision

    /** The request waits until it is admitted, at most until [until]. */
    public data class Waiting(public val until: Moment) : AdmissionDecision

    /** The request must not be sent. A place is expected to be free for it after [expectedWait]. */
    public data class Refused(public val expectedWait: Duration) : AdmissionDecision
}

/** How an attempt at a request ended, as far as it says something about the load of the service. */
public enum class AttemptOutcome {
    /** The upstream answered without an error of its own. */
    ANSWERED,

    /** The upstream refused the request because of its load. */
    REFUSED,

    /** The attempt failed otherwise, or was cancelled. */
    OTHER,
}

/** State of the admission to one service. */
public data class AdmissionFigures(
    public val limit: Int,
    public val inFlight: Int,
    public val waiting: Int,
)

/**
 * Decides when the live requests of one entry are sent to their service. Not thread-safe.
 *
 * Each request is passed to [onArrival] first and to [onLeft] last, whatever became of it. Between these, each attempt
 * at an admitted request is passed to [onAttempt] and [onAttemptEnded]. Functions that give places back return the
 * waiting requests that are admitted thereby.
 */
public interface LiveAdmission {
    /** Decides on a new [request] to a service that has [capacity]. */
    public fun onArrival(request: LiveRequest, capacity: ServiceCapacity, now: Moment): AdmissionDecision

    /** Decides on [request], which has waited for as long as it may: it is admitted already, or refused. */
    public fun onWaitEnded(request: LiveRequest, now: Moment): AdmissionDecision

    /** Records that an attempt at [request] begins. The second and each further one at a time take a place more. */
    public fun onAttempt(request: LiveRequest)

    /** Records that an attempt at [request], which began at [start], ended with [outcome]. */
    public fun onAttemptEnded(
        request: LiveRequest,
        outcome: AttemptOutcome,
        start: Moment,
        now: Moment,
    ): List<LiveRequest>

    /** Records that [request] has ended, was refused or is no longer wanted, and returns its places. */
    public fun onLeft(request: LiveRequest, now: Moment): List<LiveRequest>

    /** Returns the state of each service that had requests. */
    public fun figures(): Map<ServiceName, AdmissionFigures>
}

/** Baseline that sends each request at once. */
public object UnlimitedAdmission : LiveAdmission {
    override fun onArrival(request: LiveRequest, capacity: ServiceCapacity, now: Moment): AdmissionDecision =
        AdmissionDecision.Admitted

    override fun onWaitEnded(request: LiveRequest, now: Moment): AdmissionDecision = AdmissionDecision.Admitted

    override fun onAttempt(request: LiveRequest): Unit = Unit

    override fun onAttemptEnded(
        request: LiveRequest,
        outcome: AttemptOutcome,
        start: Moment,
        now: Moment,
    ): List<LiveRequest> = emptyList()

    override fun onLeft(request: LiveRequest, now: Moment): List<LiveRequest> = emptyList()

    override fun figures(): Map<ServiceName, AdmissionFigures> = emptyMap()
}
