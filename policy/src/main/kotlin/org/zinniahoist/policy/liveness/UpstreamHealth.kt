package org.zinniahoist.policy.liveness

import org.zinniahoist.model.Moment

/** Watches the connections of a sidecar to its upstream. */
public interface UpstreamHealth {
    /** Records that a connection received bytes or that an attempt was given to it. */
    public fun onActivity(connection: Long, now: Moment)

    /** Records that no attempt waits for bytes on a connection. */
    public fun onIdle(connection: Long)

    /** Records the answer to a health request on a new connection. Null means that there was none in time. */
    public fun onProbeResult(result: ProbeResult?, now: Moment)

    /** Returns what to do now. */
    public fun check(now: Moment): UpstreamAction
}

/**
 * Answer of an upstream to a health request.
 *
 * @property activeConnections connections on which the upstream has work, or null if the upstream does not tell.
 */
public data class ProbeResult(public val activeConnections: Set<Long>?)

/** What to do with an upstream. */
public sealed interface UpstreamAction {
    /** Nothing is due. */
    public data object None : UpstreamAction

    /** Sends a health request on a new connection. */
    public data object Probe : UpstreamAction

    /** Closes connections that the upstream no longer serves. Their attempts may have run. */
    public data class CloseConnections(public val connections: Set<Long>) : UpstreamAction

    /** The upstream answers no health request. All its attempts may have run. */
    public data object Down : UpstreamAction
}
