package org.zinniahoist.policy.routing

/**
 * Selects subsets such that each upstream is in the subsets of about the same number of entries.
 *
 * Assigns pairs of an entry and an upstream in descending order of their rendezvous scores until the subset of the
 * entry or the capacity of the upstream is full. Adding or removing a member does not reorder the pairs of the others,
 * so a membership change moves few links.
 */
public class BalancedSubsetSelector(private val sizes: SubsetSizes = SubsetSizes()) : SubsetSelector {
    override fun select(entry: Member, entries: List<Member>, upstreams: List<Member>): List<Member> {
        val localUpstreams = upstreams.filter {
            localityOf(entry.failureDomain, it.failureDomain) == Locality.FAILURE_DOMAIN
        }
        val localEntries = entries.filter { it.failureDomain == entry.failureDomain }
        val localSubset = SubsetAssignment(
            localEntries,
            localUpstreams,
            localSubsetSize(localEntries.size, localUpstreams.size),
        ) { _, _ -> true }.subsetOf(entry)
        val region = entry.failureDomain.region
        val regionalEntries = entries.filter { it.failureDomain.region == region }
        val regionalUpstreams = upstreams.filter { it.failureDomain.region == region }
        val regionalSubset = SubsetAssignment(regionalEntries, regionalUpstreams, sizes.region) { from, to ->
            from.failureDomain != to.failureDomain
        }.subsetOf(entry)
        return (localSubset + regionalSubset).ifEmpty { highestScoringUpstreams(entry, upstreams, sizes.otherRegions) }
    }

    /**
     * Returns the subset size within a failure domain. If the domain has at least two entries, the size links each
     * upstream to at least two of them, so that the loss of one entry leaves no upstream unreachable.
     */
    private fun localSubsetSize(entries: Int, upstreams: Int): Int {
        if (entries == 0) return 0
        val sizeForCoverage = (upstreams * MINIMUM_ENTRIES_PER_UPSTREAM + entries - 1) / entries
        return maxOf(sizes.failureDomain, sizeForCoverage)
    }

    private companion object {
        const val MINIMUM_ENTRIES_PER_UPSTREAM = 2
    }
}

/** Assigns up to [size] of the upstreams to each entry, with an even number of entries per upstream. */
private class SubsetAssignment(
    entries: List<Member>,
    private val upstreams: List<Member>,
    private val size: Int,
    private val allowed: (Member, Member) -> Boolean,
) {
    private val subsets = entries.associateWith { LinkedHashSet<Member>() }
    private val entryCounts = HashMap<Member, Int>()
    private val capacity = if (upstreams.isEmpty()) 0 else (entries.size * size + upstreams.size - 1) / upstreams.size

    init {
        val pairs = entries.flatMap { entry ->
            upstreams.filter { allowed(entry, it) }.map { ScoredPair(entry, it, rendezvousScore(entry, it)) }
        }.sortedByDescending { it.score }
        pairs.forEach { assign(it, capacity) }
        // Exceeds the capacity of upstreams rather than leaving the subset of an entry below its size.
        pairs.forEach { assign(it, Int.MAX_VALUE) }
    }

    fun subsetOf(entry: Member): List<Member> = subsets[entry].orEmpty().toList()

    private fun assign(pair: ScoredPair, capacity: Int) {
        val subset = subsets.getValue(pair.entry)
        val count = entryCounts[pair.upstream] ?: 0
        if (subset.size < size && count < capacity && subset.add(pair.upstream)) entryCounts[pair.upstream] = count + 1
    }

    private class ScoredPair(
        val entry: Member,
        val upstream: Member,
        val score: Long,
    )
}
