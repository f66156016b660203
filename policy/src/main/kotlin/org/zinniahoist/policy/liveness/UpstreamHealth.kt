package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment

/** Monitors the health of an upstream and of the connections of its sidecar to it. */
public interface UpstreamHealth {
    /** Records that bytes were received on a connection, or that an attempt was sent on it. */
    public fun onActivity(connection: Long, now: Moment)

    /** Records that no attempt is in flight on a connection. */
    public fun onIdle(connection: Long)

    /** Records the response to a health request on a new connection, or null if it timed out. */
    public fun onProbeResult(result: ProbeResult?, now: Moment)

    /** Returns the action that is due. */
    public fun check(now: Moment): UpstreamAction
}

/**
 * Response of an upstream to a health request.
 *
 * @property activeConnections connections on which the upstream is processing requests, or null if it does not report
 * them.
 */
public data class ProbeResult(public val activeConnections: Set<Long>?)

/** Action that is due for an upstream. */
public sealed interface UpstreamAction {
    /** No action is due. */
    public data object None : UpstreamAction

    /** The sidecar must send a health request on a new connection. */
    public data object Probe : UpstreamAction

    /** The sidecar must close connections that the upstream no longer serves. Their attempts may have run. */
    public data class CloseConnections(public val connections: Set<Long>) : UpstreamAction

    /** The upstream does not answer health requests and is down. All its attempts may have run. */
    public data object Down : UpstreamAction
}
