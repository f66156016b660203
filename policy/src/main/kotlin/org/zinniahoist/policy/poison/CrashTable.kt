package org.zinniahoist.policy.poison

import org.zinniahoist.model.Moment
import org.zinniahoist.model.UpstreamIdentity
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Counts, for each request, the crashes of upstreams that ran it, and blocks a request after [MAXIMUM_CRASHES] of them.
 *
 * All requests in flight on an upstream that crashes are suspects. A completed run clears a request of all crashes
 * before it and of those that follow within [COMPLETION_TRUST], because a request that many clients send at once is in
 * flight at each crash. Observations of several processes merge in any order to the same result. Not thread-safe.
 *
 * @param capacity maximum number of requests with observations. The one with the fewest crashes is evicted first.
 */
public class CrashTable(private val capacity: Int = DEFAULT_CAPACITY) {
    private val records = LinkedHashMap<Fingerprint, Record>()
    private val recentCompletions = RecentCompletions()

    /** Number of requests with observations. */
    public val size: Int get() = records.size

    /** Returns true if the request has crashed too many upstreams to be run at [now]. */
    public fun isBlocked(fingerprint: Fingerprint, now: Moment): Boolean =
        crashes(fingerprint, now).size >= MAXIMUM_CRASHES

    /** Returns the upstreams that crashed at a run of the request, the latest crash last. */
    public fun crashes(fingerprint: Fingerprint, now: Moment): List<UpstreamIdentity> =
        records[fingerprint]?.counted(now).orEmpty().map { it.upstream }

    /** Returns the crashes that count against each request at [now]. */
    public fun suspects(now: Moment): Map<Fingerprint, List<ObservedCrash>> =
        records.mapValues { (_, record) -> record.counted(now) }.filterValues { it.isNotEmpty() }

    /** Returns true if a completed run has cleared the request of all its crashes at [now]. */
    public fun isCleared(fingerprint: Fingerprint, now: Moment): Boolean =
        records[fingerprint]?.let { it.completion != null && it.counted(now).isEmpty() } == true

    /** Returns the number of blocked requests at [now]. */
    public fun blocked(now: Moment): Int = records.keys.count { isBlocked(it, now) }

    /** Adds [evidence] from this or another process at [now]. Returns the part that is new to this table. */
    public fun add(evidence: CrashEvidence, now: Moment): CrashEvidence {
        evict(now)
        val completions = evidence.completions.filter(::addCompletion)
        val crashes = evidence.crashes.filter { now - it.at < RETENTION && addCrash(it) }
        val refuted = crashes.mapNotNull { recentCompletions.find(it.fingerprint) }.distinct().filter(::addCompletion)
        while (records.size > capacity) evictLeastSuspected(now)
        return CrashEvidence(crashes, completions + refuted)
    }

    /** Records that a run of the request completed at [now]. Returns evidence to share if the request was suspected. */
    public fun onCompleted(fingerprint: Fingerprint, now: Moment): CrashEvidence {
        val completion = ObservedCompletion(fingerprint, now)
        recentCompletions.put(completion)
        val isSuspect = records[fingerprint]?.counted(now)?.isNotEmpty() == true
        return if (isSuspect) add(CrashEvidence(completions = listOf(completion)), now) else CrashEvidence()
    }

    /** Returns all observations that are retained at [now]. */
    public fun evidence(now: Moment): CrashEvidence {
        evict(now)
        return CrashEvidence(records.values.flatMap { it.crashes }, records.values.mapNotNull { it.completion })
    }

    private fun addCompletion(completion: ObservedCompletion): Boolean {
        val record = records.getOrPut(completion.fingerprint, ::Record)
        val known = record.completion
        if (known != null && known.at >= completion.at) return false
        record.completion = completion
        return true
    }

    private fun addCrash(crash: ObservedCrash): Boolean {
        val record = records.getOrPut(crash.fingerprint, ::Record)
        val same = record.crashes.filter { it.isSameAs(crash) }
        if (same.any { !crash.replaces(it) }) return false
        record.crashes -= same.toSet()
        record.crashes += crash
        record.crashes.sortBy { it.at }
        if (record.crashes.size > RETAINED_CRASHES) record.crashes.removeFirst()
        return crash in record.crashes
    }

    /** The time of a restored crash is inexact, so it is the same as any other crash of its upstream. */
    private fun ObservedCrash.isSameAs(other: ObservedCrash): Boolean {
        val isExact = !isRestored && !other.isRestored
        return upstream == other.upstream && (!isExact || (at - other.at).absoluteValue < MINIMUM_RESTART)
    }

    private fun ObservedCrash.replaces(other: ObservedCrash): Boolean =
        other.isRestored && (!isRestored || at > other.at)

    private fun evict(now: Moment) {
        records.values.removeIf { record ->
            record.crashes.removeIf { now - it.at >= RETENTION }
            record.crashes.isEmpty() && record.completion.let { it == null || now - it.at >= RETENTION }
        }
    }

    private fun evictLeastSuspected(now: Moment) {
        records.entries.minByOrNull { it.value.counted(now).size }?.let { records.remove(it.key) }
    }

    private class Record {
        val crashes = ArrayList<ObservedCrash>()
        var completion: ObservedCompletion? = null

        /** Returns the crashes that count against the request at [now]. */
        fun counted(now: Moment): List<ObservedCrash> {
            val trustedUntil = completion?.let { it.at + COMPLETION_TRUST }
            return crashes.filter { now - it.at < RETENTION && (trustedUntil == null || it.at > trustedUntil) }
        }
    }

    public companion object {
        /** Number of crashes from which a request is blocked. */
        public const val MAXIMUM_CRASHES: Int = 3

        /** Time for which a crash counts. A new version of the upstreams may run the request without a crash. */
        public val RETENTION: Duration = 10.minutes

        /** Time after a completed run for which crashes do not count against the request. */
        public val COMPLETION_TRUST: Duration = 5.seconds

        /**
         * Two crashes of an upstream within this time are one, seen by several processes: an upstream may start again
         * under its identity, but takes longer for that.
         */
        private val MINIMUM_RESTART = 2_500.milliseconds

        /** Crashes retained for each request, in case a completed run clears the earliest of them. */
        private const val RETAINED_CRASHES = 2 * MAXIMUM_CRASHES
        private const val DEFAULT_CAPACITY = 1_024
    }
}
