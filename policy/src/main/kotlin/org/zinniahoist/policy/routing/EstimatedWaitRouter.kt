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
 * Routes each attempt to the cheaper of two random upstreams, by estimated queueing delay ("power of two choices").
 *
 * Considers the own failure domain first, then the region, then other regions. A routing decision takes constant time
 * in the number of upstreams, apart from returning upstreams whose ejection has ended.
 */
public class EstimatedWaitRouter(
    private val failureDomain: FailureDomain,
    private val settings: RoutingSettings = RoutingSettings(),
) : Router {
    private val records = HashMap<InstanceName, UpstreamRecord>()
    private val upstreamsByLocality =
        Locality.entries.map { IndexedUpstreams<UpstreamRecord> { record -> record.instance } }
    private val inFlightByLocality = IntArray(Locality.entries.size)
    private val ejections = PriorityQueue<Ejection>(compareBy { it.until })
    private val consistentHash = ConsistentHashing.jumpBackHash(PseudoRandomGeneratorProvider.splitMix64_V1())
    private val spilloverMilliseconds = settings.spilloverWait.toDouble(DurationUnit.MILLISECONDS)
    private var availableCount = 0
    private var meanExternalLoad = 0.0

    /**
     * Moving average of the expected service time of the attempts that this entry routes, in milliseconds. The last
     * report of an upstream does not include the most recent of these attempts.
     */
    private var meanExpectedMilliseconds = 0.0

    override fun add(instance: InstanceName, failureDomain: FailureDomain) {
        remove(instance)
        val locality = localityOf(this.failureDomain, failureDomain)
        val record = UpstreamRecord(instance, locality, settings)
        records[instance] = record
        upstreamsByLocality[locality.ordinal].add(record)
        availableCount += 1
    }

    override fun remove(instance: InstanceName) {
        val record = records[instance] ?: return
        setAvailable(instance, false)
        records.remove(instance)
        inFlightByLocality[record.locality.ordinal] -= record.inFlight
    }

    override fun setAvailable(instance: InstanceName, available: Boolean) {
        val record = records[instance] ?: return
        if (record.available == available) return
        record.available = available
        availableCount += if (available) 1 else -1
        if (available) {
            upstreamsByLocality[record.locality.ordinal].add(record)
        } else {
            upstreamsByLocality[record.locality.ordinal].remove(instance)
            if (ejections.removeIf { it.record === record }) record.outliers.release()
            while (ejections.size > maximumEjections()) release(ejections.remove())
        }
    }

    override fun route(request: RoutingRequest, now: Moment, random: Random): RoutingDecision {
        while (ejections.isNotEmpty() && ejections.peek().until <= now) release(ejections.remove())
        meanExpectedMilliseconds += MEAN_SMOOTHING_FACTOR *
            (request.expectedTime.toDouble(DurationUnit.MILLISECONDS) - meanExpectedMilliseconds)
        val best = selectByCost(request, now, random) ?: return RoutingDecision.NoUpstream
        val prefixHolder = request.prefixHash?.let { findPrefixHolder(it, request, best, now) }
        val chosen = prefixHolder ?: best.record
        val wait = chosen.waitMilliseconds(chosen.load(meanExternalLoad, now), meanExpectedMilliseconds).milliseconds
        return RoutingDecision.Routed(chosen.instance, wait, prefixHolder != null)
    }

    override fun onStart(instance: InstanceName) {
        val record = records[instance] ?: return
        record.onStart()
        inFlightByLocality[record.locality.ordinal] += 1
    }

    override fun onEnd(instance: InstanceName, outcome: AttemptOutcome, now: Moment) {
        val record = records[instance] ?: return
        val previousInFlight = record.inFlight
        record.onEnd()
        inFlightByLocality[record.locality.ordinal] -= previousInFlight - record.inFlight
        if (outcome == AttemptOutcome.NEUTRAL) return
        record.outliers.record(failed = outcome == AttemptOutcome.FAILED)
        if (record.outliers.isOutlier) eject(record, now)
    }

    override fun onReport(instance: InstanceName, digest: LoadDigest, now: Moment) {
        val record = records[instance] ?: return
        record.onReport(digest, now)
        meanExternalLoad += (record.externalLoad - meanExternalLoad) * MEAN_SMOOTHING_FACTOR
    }

    private fun selectByCost(request: RoutingRequest, now: Moment, random: Random): Candidate? {
        var best: Candidate? = null
        for (locality in Locality.entries) {
            val candidate = cheaperOfTwo(upstreamsByLocality[locality.ordinal], request, now, random) ?: continue
            val cost = candidate.cost + penalty(locality)
            if (best == null || cost < best.cost) best = Candidate(candidate.record, candidate.wait, cost)
            if (best.wait <= spilloverMilliseconds) return best
        }
        return best
    }

    private fun cheaperOfTwo(
        upstreams: IndexedUpstreams<UpstreamRecord>,
        request: RoutingRequest,
        now: Moment,
        random: Random,
    ): Candidate? {
        if (upstreams.size == 0) return null
        val start = random.nextInt(upstreams.size)
        val first = firstNotExcluded(upstreams, start, request.excluded) ?: return null
        if (upstreams.size == 1) return candidate(first, now)
        val offset = 1 + random.nextInt(upstreams.size - 1)
        val second = firstNotExcluded(upstreams, start + offset, request.excluded) ?: first
        val firstCandidate = candidate(first, now)
        val secondCandidate = candidate(second, now)
        return if (secondCandidate.cost < firstCandidate.cost) secondCandidate else firstCandidate
    }

    /** Checks at most one more upstream than [excluded] contains, which suffices to find one that is not excluded. */
    private fun firstNotExcluded(
        upstreams: IndexedUpstreams<UpstreamRecord>,
        start: Int,
        excluded: Set<InstanceName>,
    ): UpstreamRecord? {
        for (step in 0..minOf(excluded.size, upstreams.size - 1)) {
            val record = upstreams[(start + step) % upstreams.size]
            if (record.instance !in excluded) return record
        }
        return null
    }

    private fun candidate(record: UpstreamRecord, now: Moment): Candidate {
        val load = record.load(meanExternalLoad, now)
        return Candidate(
            record,
            record.waitMilliseconds(load, meanExpectedMilliseconds),
            record.cost(load, meanExpectedMilliseconds),
        )
    }

    /** Returns an upstream that may have the prefix cached, or null if affinity would delay the attempt. */
    private fun findPrefixHolder(
        hash: Long,
        request: RoutingRequest,
        best: Candidate,
        now: Moment,
    ): UpstreamRecord? {
        val locality = best.record.locality
        val upstreams = upstreamsByLocality[locality.ordinal]
        val mean = inFlightByLocality[locality.ordinal].toDouble() / upstreams.size + meanExternalLoad
        val maximumCost = best.cost - penalty(locality) + request.prefillSaving.toDouble(DurationUnit.MILLISECONDS)
        for (attempt in 0 until PREFIX_CANDIDATES) {
            val record = upstreams[consistentHash.getBucket(HASHER.hashLongIntToLong(hash, attempt), upstreams.size)]
            if (record.instance in request.excluded) continue
            val load = record.load(meanExternalLoad, now)
            val withinLoadBound = load + 1 <= settings.affinityLoadFactor * (mean + 1) || record.isBelowHalfLoad(load)
            if (withinLoadBound && record.cost(load, meanExpectedMilliseconds) <= maximumCost) return record
        }
        return null
    }

    private fun penalty(locality: Locality): Double = when (locality) {
        Locality.FAILURE_DOMAIN -> 0.0
        Locality.REGION -> settings.regionPenalty.toDouble(DurationUnit.MILLISECONDS)
        Locality.OTHER_REGION -> settings.otherRegionPenalty.toDouble(DurationUnit.MILLISECONDS)
    }

    private fun maximumEjections(): Int = availableCount / EjectionSettings.EJECTED_DIVISOR

    private fun eject(record: UpstreamRecord, now: Moment) {
        if (!record.available || record.outliers.ejectedUntil != null || ejections.size >= maximumEjections()) return
        upstreamsByLocality[record.locality.ordinal].remove(record.instance)
        ejections.add(Ejection(record, record.outliers.eject(now)))
    }

    private fun release(ejection: Ejection) {
        ejection.record.outliers.release()
        upstreamsByLocality[ejection.record.locality.ordinal].add(ejection.record)
    }

    private class Candidate(
        val record: UpstreamRecord,
        val wait: Double,
        val cost: Double,
    )

    private class Ejection(
        val record: UpstreamRecord,
        val until: Moment,
    )

    private companion object {
        const val MEAN_SMOOTHING_FACTOR = 0.02

        /** Number of upstreams to which a prefix hashes. A low number keeps a group on few prefix caches. */
        const val PREFIX_CANDIDATES = 2
        val HASHER = Hashing.komihash5_0()
    }
}
