package org.zinniahoist.policy.routing

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName

/**
 * Selects the subset of upstreams to which an entry keeps links.
 *
 * The selection is deterministic: all entries compute the same subsets from the same member lists.
 */
public fun interface SubsetSelector {
    /** Returns the subset for [entry], which is one of [entries]. */
    public fun select(entry: Member, entries: List<Member>, upstreams: List<Member>): List<Member>
}

/** An entry or an upstream with its failure domain. */
public data class Member(
    public val instance: InstanceName,
    public val failureDomain: FailureDomain,
)

/**
 * Maximum numbers of upstreams in the subset of an entry.
 *
 * @property failureDomain number of upstreams in the failure domain of the entry.
 * @property region number of upstreams in the other failure domains of the region.
 * @property otherRegions number of upstreams in other regions. [BalancedSubsetSelector] uses them only if the region
 * has no upstream.
 */
public data class SubsetSizes(
    public val failureDomain: Int = 32,
    public val region: Int = 16,
    public val otherRegions: Int = 8,
)
