package org.zinniahoist.policy.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.zinniahoist.model.FailureDomain

/**
 * Baseline selector: selects the upstreams with the highest rendezvous hashing scores. The number of entries per
 * upstream is uneven.
 */
public class RendezvousSubsetSelector(private val sizes: SubsetSizes = SubsetSizes()) : SubsetSelector {
    override fun select(entry: Member, entries: List<Member>, upstreams: List<Member>): List<Member> {
        val byLocality = upstreams.groupBy { localityOf(entry.failureDomain, it.failureDomain) }
        return Locality.entries.flatMap { locality ->
            highestScoringUpstreams(entry, byLocality[locality].orEmpty(), locality.subsetSize(sizes))
        }
    }
}

/** Location of an upstream relative to an entry. */
internal enum class Locality { FAILURE_DOMAIN, REGION, OTHER_REGION }

internal fun Locality.subsetSize(sizes: SubsetSizes): Int = when (this) {
    Locality.FAILURE_DOMAIN -> sizes.failureDomain
    Locality.REGION -> sizes.region
    Locality.OTHER_REGION -> sizes.otherRegions
}

internal fun localityOf(entry: FailureDomain, upstream: FailureDomain): Locality = when {
    entry == upstream -> Locality.FAILURE_DOMAIN
    entry.region == upstream.region -> Locality.REGION
    else -> Locality.OTHER_REGION
}

internal fun rendezvousScore(entry: Member, upstream: Member): Long = HASHER
    .hashStream()
    .putString(entry.instance.value)
    .putString(upstream.instance.value)
    .asLong

internal fun highestScoringUpstreams(entry: Member, upstreams: List<Member>, count: Int): List<Member> =
    upstreams.sortedByDescending { rendezvousScore(entry, it) }.take(count)

private val HASHER = Hashing.komihash5_0()
