package org.zinniahoist.policy.routing

import com.dynatrace.hash4j.consistent.ConsistentHashing
import com.dynatrace.hash4j.hashing.Hashing
import com.dynatrace.hash4j.random.PseudoRandomGeneratorProvider
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Ranks two random upstreams by their expected wait, failure domain first, then region, then elsewhere.
 *
 * The work of a decision does not depend on the number of upstreams, except for ejections that end.
 */
public class EstimatedWaitRouter(
    private val failureDomain: FailureDomain,
    private val settings: RoutingSettings = RoutingSettings(),
) : Router {
    private val records = HashMap<InstanceName, UpstreamRecord>()
    private val tiers = Place.entries.map { KnownUpstreams<UpstreamRecord> { record -> record.instance } }
    private val ownLoads = IntArray(Place.entries.size)
    private val ejected = PriorityQueue<Ejection>(compareBy { it.until })
    private val buckets = ConsistentHashing.jumpBackHash(PseudoRandomGeneratorProvider.splitMix64_V1())
    private val spillMilliseconds = settings.spillWait.toDouble(DurationUnit.MILLISECONDS)
    private var availableCount = 0
    private var meanForeign = 0.0

    /** Mean expected milliseconds of the attempts that this entry routes. A report can't know of the latest of them. */
    private var meanExpected = 0.0

    override fun add(instance: InstanceName, failureDomain: FailureDomain) {
        remove(instance)
        val place = placeOf(this.failureDomain, failureDomain)
        val record = UpstreamRecord(instance, place, settings)
        records[instance] = record
        tiers[place.ordinal].add(record)
        availableCount += 1
    }

    override fun remove(instance: InstanceName) {
        val record = records[instance] ?: return
        setAvailable(instance, false)
        records.remove(instance)
        ownLoads[record.place.ordinal] -= record.inFlight
    }

    override fun setAvailable(instance: InstanceName, available: Boolean) {
        val record = records[instance] ?: return
        if (record.available == available) return
        record.available = available
        availableCount += if (available) 1 else -1
        if (available) {
            tiers[record.place.ordinal].add(record)
        } else {
            tiers[record.place.ordinal].remove(instance)
            if (ejected.removeIf { it.record === record }) record.condition.release()
            while (ejected.size > maximumEjected()) release(ejected.remove())
        }
    }

    override fun route(request: RoutingRequest, now: Moment, random: Random): RoutingDecision {
        while (ejected.isNotEmpty() && ejected.peek().until <= now) release(ejected.remove())
        meanExpected += MEAN_SMOOTHING * (request.expectedTime.toDouble(DurationUnit.MILLISECONDS) - meanExpected)
        val best = shortestWait(request, now, random) ?: return RoutingDecision.NoUpstream
        val sharing = request.prefixHash?.let { sharingPrefix(it, request, best, now) }
        val chosen = sharing ?: best.record
        val wait = chosen.waitMilliseconds(chosen.load(meanForeign, now), meanExpected).milliseconds
        return RoutingDecision.Routed(chosen.instance, wait, sharing != null)
    }

    override fun onStart(instance: InstanceName) {
        val record = records[instance] ?: return
        record.onStart()
        ownLoads[record.place.ordinal] += 1
    }

    override fun onEnd(instance: InstanceName, outcome: AttemptOutcome, now: Moment) {
        val record = records[instance] ?: return
        val before = record.inFlight
        record.onEnd()
        ownLoads[record.place.ordinal] -= before - record.inFlight
        if (outcome == AttemptOutcome.NEUTRAL) return
        record.condition.record(failed = outcome == AttemptOutcome.FAILED)
        if (record.condition.isOutlier) eject(record, now)
    }

    override fun onReport(instance: InstanceName, digest: LoadDigest, now: Moment) {
        val record = records[instance] ?: return
        record.onReport(digest, now)
        meanForeign += (record.foreign - meanForeign) * MEAN_SMOOTHING
    }

    private fun shortestWait(request: RoutingRequest, now: Moment, random: Random): Candidate? {
        var best: Candidate? = null
        for (place in Place.entries) {
            val candidate = betterOfTwo(tiers[place.ordinal], request, now, random) ?: continue
            val rank = candidate.rank + penalty(place)
            if (best == null || rank < best.rank) best = Candidate(candidate.record, candidate.wait, rank)
            if (best.wait <= spillMilliseconds) return best
        }
        return best
    }

    private fun betterOfTwo(
        tier: KnownUpstreams<UpstreamRecord>,
        request: RoutingRequest,
        now: Moment,
        random: Random,
    ): Candidate? {
        if (tier.size == 0) return null
        val start = random.nextInt(tier.size)
        val first = firstAllowed(tier, start, request.excluded) ?: return null
        if (tier.size == 1) return candidate(first, now)
        val offset = 1 + random.nextInt(tier.size - 1)
        val second = firstAllowed(tier, start + offset, request.excluded) ?: first
        val one = candidate(first, now)
        val two = candidate(second, now)
        return if (two.rank < one.rank) two else one
    }

    /** Looks at one item more than are excluded, as the others must be allowed. */
    private fun firstAllowed(
        tier: KnownUpstreams<UpstreamRecord>,
        start: Int,
        excluded: Set<InstanceName>,
    ): UpstreamRecord? {
        for (step in 0..minOf(excluded.size, tier.size - 1)) {
            val record = tier[(start + step) % tier.size]
            if (record.instance !in excluded) return record
        }
        return null
    }

    private fun candidate(record: UpstreamRecord, now: Moment): Candidate {
        val load = record.load(meanForeign, now)
        return Candidate(record, record.waitMilliseconds(load, meanExpected), record.rank(load, meanExpected))
    }

    /** Returns an upstream that may hold the prefix, unless the attempt would end later there. */
    private fun sharingPrefix(
        hash: Long,
        request: RoutingRequest,
        best: Candidate,
        now: Moment,
    ): UpstreamRecord? {
        val place = best.record.place
        val tier = tiers[place.ordinal]
        val mean = ownLoads[place.ordinal].toDouble() / tier.size + meanForeign
        val limitRank = best.rank - penalty(place) + request.prefillSaving.toDouble(DurationUnit.MILLISECONDS)
        for (attempt in 0 until PREFIX_CHOICES) {
            val record = tier[buckets.getBucket(HASHER.hashLongIntToLong(hash, attempt), tier.size)]
            if (record.instance in request.excluded) continue
            val load = record.load(meanForeign, now)
            val bounded = load + 1 <= settings.affinityLoadFactor * (mean + 1) || record.hasHalfFree(load)
            if (bounded && record.rank(load, meanExpected) <= limitRank) return record
        }
        return null
    }

    private fun penalty(place: Place): Double = when (place) {
        Place.FAILURE_DOMAIN -> 0.0
        Place.REGION -> settings.regionPenalty.toDouble(DurationUnit.MILLISECONDS)
        Place.ELSEWHERE -> settings.elsewherePenalty.toDouble(DurationUnit.MILLISECONDS)
    }

    private fun maximumEjected(): Int = availableCount / EjectionSettings.EJECTED_DIVISOR

    private fun eject(record: UpstreamRecord, now: Moment) {
        if (!record.available || record.condition.ejectedUntil != null || ejected.size >= maximumEjected()) return
        tiers[record.place.ordinal].remove(record.instance)
        ejected.add(Ejection(record, record.condition.eject(now)))
    }

    private fun release(ejection: Ejection) {
        ejection.record.condition.release()
        tiers[ejection.record.place.ordinal].add(ejection.record)
    }

    private class Candidate(
        val record: UpstreamRecord,
        val wait: Double,
        val rank: Double,
    )

    private class Ejection(
        val record: UpstreamRecord,
        val until: Moment,
    )

    private companion object {
        const val MEAN_SMOOTHING = 0.02

        /** A prefix is looked for on at most this many upstreams, so that a group uses few caches. */
        const val PREFIX_CHOICES = 2
        val HASHER = Hashing.komihash5_0()
    }
}
