package org.zinniahoist.policy.routing

/**
 * Gives each entry its subset and each upstream about the same number of entries.
 *
 * Pairs of an entry and an upstream are taken in the order of their rendezvous scores until either has enough. The
 * order of the other pairs does not change with one of them, so that a change moves few links.
 */
public class BalancedSubsetSelector(private val sizes: SubsetSizes = SubsetSizes()) : SubsetSelector {
    override fun select(entry: Member, entries: List<Member>, upstreams: List<Member>): List<Member> {
        val near = upstreams.filter { placeOf(entry.failureDomain, it.failureDomain) == Place.FAILURE_DOMAIN }
        val peers = entries.filter { it.failureDomain == entry.failureDomain }
        val own = Matching(peers, near, coveringSize(peers.size, near.size)) { _, _ -> true }.of(entry)
        val region = entry.failureDomain.region
        val neighbours = entries.filter { it.failureDomain.region == region }
        val regional = upstreams.filter { it.failureDomain.region == region }
        val around = Matching(neighbours, regional, sizes.region) { from, to -> from.failureDomain != to.failureDomain }
            .of(entry)
        return (own + around).ifEmpty { highestScores(entry, upstreams, sizes.elsewhere) }
    }

    /** Each upstream gets at least two entries where there are as many, so that no capacity is out of reach. */
    private fun coveringSize(entries: Int, upstreams: Int): Int {
        if (entries == 0) return 0
        val covering = (upstreams * MINIMUM_ENTRIES + entries - 1) / entries
        return maxOf(sizes.failureDomain, covering)
    }

    private companion object {
        const val MINIMUM_ENTRIES = 2
    }
}

private class Matching(
    entries: List<Member>,
    private val upstreams: List<Member>,
    private val size: Int,
    private val allowed: (Member, Member) -> Boolean,
) {
    private val chosen = entries.associateWith { LinkedHashSet<Member>() }
    private val counts = HashMap<Member, Int>()
    private val capacity = if (upstreams.isEmpty()) 0 else (entries.size * size + upstreams.size - 1) / upstreams.size

    init {
        val pairs = entries.flatMap { entry ->
            upstreams.filter { allowed(entry, it) }.map { Pairing(entry, it, rendezvousScore(entry, it)) }
        }.sortedByDescending { it.score }
        pairs.forEach { take(it, capacity) }
        // An entry whose remaining upstreams are all full goes over their capacity rather than below its size.
        pairs.forEach { take(it, Int.MAX_VALUE) }
    }

    fun of(entry: Member): List<Member> = chosen[entry].orEmpty().toList()

    private fun take(pairing: Pairing, capacity: Int) {
        val subset = chosen.getValue(pairing.entry)
        val count = counts[pairing.upstream] ?: 0
        if (subset.size < size && count < capacity && subset.add(pairing.upstream)) counts[pairing.upstream] = count + 1
    }

    private class Pairing(
        val entry: Member,
        val upstream: Member,
        val score: Long,
    )
}
