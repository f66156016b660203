package org.zinniahoist.policy.connections

import org.zinniahoist.model.Moment

/** Decision about a new connection. */
public sealed interface Admission<out C> {
    /** The connection is served. */
    public data object Accepted : Admission<Nothing>

    /** The connection is served, and [connection] must be closed for it. */
    public data class InPlaceOf<C>(public val connection: C) : Admission<C>

    /** The connection must be closed. */
    public data object Refused : Admission<Nothing>
}

/**
 * Decides which connections to one address stay open. If all are in use, a new connection takes the place of the one
 * without activity for the longest time, unless that time is below [ConnectionLimits.reclaimableAfter]. Thread-safe.
 */
public class ConnectionTable<C : Any>(private val limits: ConnectionLimits) {
    /** Connections without a complete request under way, by their last activity, oldest first. */
    private val idle = LinkedHashMap<C, Moment>()
    private val busy = HashSet<C>()

    /** Number of open connections. */
    public val size: Int @Synchronized get() = idle.size + busy.size

    /** Decides at [now] about the new [connection]. */
    @Synchronized
    public fun open(connection: C, now: Moment): Admission<C> {
        if (size < limits.maximumConnections) {
            idle[connection] = now
            return Admission.Accepted
        }
        val (oldest, lastActivity) = idle.entries.firstOrNull() ?: return Admission.Refused
        if (now - lastActivity < limits.reclaimableAfter) return Admission.Refused
        idle.remove(oldest)
        idle[connection] = now
        return Admission.InPlaceOf(oldest)
    }

    /** Records that [connection] sent bytes of a request, or received the end of a response, at [now]. */
    @Synchronized
    public fun onActivity(connection: C, now: Moment) {
        if (idle.remove(connection) == null && !busy.remove(connection)) return
        idle[connection] = now
    }

    /** Records that a complete request of [connection] waits for its response, so that it must not be reclaimed. */
    @Synchronized
    public fun onRequest(connection: C) {
        if (idle.remove(connection) != null) busy += connection
    }

    /** Records that [connection] is closed. */
    @Synchronized
    public fun close(connection: C) {
        idle.remove(connection)
        busy.remove(connection)
    }
}
