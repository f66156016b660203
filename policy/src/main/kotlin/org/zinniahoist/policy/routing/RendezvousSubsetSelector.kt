package org.zinniahoist.policy.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.zinniahoist.model.FailureDomain

/** Baseline: the upstreams with the highest rendezvous scores. Upstreams get uneven numbers of entries. */
public class RendezvousSubsetSelector(private val sizes: SubsetSizes = SubsetSizes()) : SubsetSelector {
    override fun select(entry: Member, entries: List<Member>, upstreams: List<Member>): List<Member> {
        val byPlace = upstreams.groupBy { placeOf(entry.failureDomain, it.failureDomain) }
        return Place.entries.flatMap { place ->
            highestScores(entry, byPlace[place].orEmpty(), place.sizeIn(sizes))
        }
    }
}

/** Where an upstream is, seen from an entry. */
internal enum class Place { FAILURE_DOMAIN, REGION, ELSEWHERE }

internal fun Place.sizeIn(sizes: SubsetSizes): Int = when (this) {
    Place.FAILURE_DOMAIN -> sizes.failureDomain
    Place.REGION -> sizes.region
    Place.ELSEWHERE -> sizes.elsewhere
}

internal fun placeOf(entry: FailureDomain, upstream: FailureDomain): Place = when {
    entry == upstream -> Place.FAILURE_DOMAIN
    entry.region == upstream.region -> Place.REGION
    else -> Place.ELSEWHERE
}

internal fun rendezvousScore(entry: Member, upstream: Member): Long = HASHER
    .hashStream()
    .putString(entry.instance.value)
    .putString(upstream.instance.value)
    .asLong

internal fun highestScores(entry: Member, upstreams: List<Member>, count: Int): List<Member> =
    upstreams.sortedByDescending { rendezvousScore(entry, it) }.take(count)

private val HASHER = Hashing.komihash5_0()
