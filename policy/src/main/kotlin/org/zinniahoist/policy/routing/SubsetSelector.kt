package org.zinniahoist.policy.routing

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName

/** Selects the upstreams that an entry keeps links to. All entries compute the same result from the same lists. */
public fun interface SubsetSelector {
    /** Returns the subset for [entry], which is one of [entries]. */
    public fun select(entry: Member, entries: List<Member>, upstreams: List<Member>): List<Member>
}

/** An entry or an upstream with its place. */
public data class Member(
    public val instance: InstanceName,
    public val failureDomain: FailureDomain,
)

/**
 * Sizes of an entry's subset.
 *
 * @property failureDomain upstreams in the entry's own failure domain.
 * @property region upstreams in other failure domains of the entry's region.
 * @property elsewhere upstreams in other regions, used only if the region has none.
 */
public data class SubsetSizes(
    public val failureDomain: Int = 32,
    public val region: Int = 16,
    public val elsewhere: Int = 8,
)
