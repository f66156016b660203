package org.zinniahoist.gateway.link

import org.zinniahoist.model.InstanceName

/**
 * Remembers replicas that were members or seeds before, and decides on links to them.
 *
 * An open link to a former member is kept, because that replica forwards what it hears, and one announcement must not
 * cut off this process. All others are contacted again only by an isolated process, because the members and seeds
 * that it knows may all be gone.
 *
 * Not thread-safe.
 */
internal class KnownReplicas {
    /** Those remembered last are at the end. */
    private val former = LinkedHashSet<InstanceName>()

    /** Remembers [instances], and forgets the oldest ones above [MAXIMUM_FORMER]. */
    fun remember(instances: Set<InstanceName>) {
        former -= instances
        former += instances
        val surplus = former.size - MAXIMUM_FORMER
        if (surplus > 0) former -= former.take(surplus).toSet()
    }

    /** Returns the replicas to link to: [current] ones and, of the others, those [connected] or all if [isIsolated]. */
    fun targets(current: Set<InstanceName>, connected: Set<InstanceName>, isIsolated: Boolean): Set<InstanceName> =
        current + if (isIsolated) former else former.intersect(connected)

    private companion object {
        /** Bounds the connection attempts of an isolated process. */
        const val MAXIMUM_FORMER = 32
    }
}
