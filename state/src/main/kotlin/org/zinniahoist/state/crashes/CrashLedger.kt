package org.zinniahoist.state.crashes

import kotlinx.serialization.Serializable
import org.zinniahoist.model.InstanceName

/**
 * Counts, for each request, the crashes of upstreams that executed it, and admits a suspected request to one upstream
 * at a time.
 *
 * The fingerprint of a request is the hash of its route and body. Times are milliseconds of the replicated log's clock.
 */
public class CrashLedger(private val retentionMilliseconds: Long = DEFAULT_RETENTION_MILLISECONDS) {
    private val suspects = LinkedHashMap<Long, SuspectRecord>()

    /** Records the crash of an upstream that was executing the requests with these [fingerprints]. */
    public fun report(fingerprints: Set<Long>, timeMilliseconds: Long) {
        expire(timeMilliseconds)
        fingerprints.sorted().forEach { fingerprint ->
            val crashes = (suspects.remove(fingerprint)?.crashes ?: 0) + 1
            suspects[fingerprint] = SuspectRecord(crashes, timeMilliseconds)
        }
    }

    /** Admits a suspected request to [instance] and reserves its execution, unless it is blocked or reserved. */
    public fun start(fingerprint: Long, instance: InstanceName, timeMilliseconds: Long): SuspectStart {
        expire(timeMilliseconds)
        val record = suspects[fingerprint] ?: return SuspectStart.NOT_SUSPECT
        val reserved = record.runningOn != null && timeMilliseconds < record.reservedUntilMilliseconds
        return when {
            record.crashes >= MAXIMUM_CRASHES -> SuspectStart.BLOCKED

            reserved -> SuspectStart.RUNNING

            else -> {
                val reservedUntil = timeMilliseconds + RESERVATION_MILLISECONDS
                suspects[fingerprint] = record.copy(runningOn = instance, reservedUntilMilliseconds = reservedUntil)
                SuspectStart.GRANTED
            }
        }
    }

    /** Ends the reservation of a request on [instance] without a crash, and clears the request if it [finished]. */
    public fun end(fingerprint: Long, instance: InstanceName, finished: Boolean) {
        val record = suspects[fingerprint] ?: return
        if (record.runningOn != instance || record.crashes >= MAXIMUM_CRASHES) return
        if (finished) suspects.remove(fingerprint) else suspects[fingerprint] = record.copy(runningOn = null)
    }

    /** Returns the number of crashes of each suspected request by fingerprint. */
    public fun suspects(): Map<Long, Int> = suspects.mapValues { (_, record) -> record.crashes }

    /** Returns a copy of the state for a snapshot. */
    public fun capture(): CrashState = CrashState(suspects.toMap())

    /** Replaces the state with that of a snapshot. */
    public fun restore(state: CrashState) {
        suspects.clear()
        suspects.putAll(state.suspects)
    }

    /** Evicts records after the retention period; the map is ordered by the time of the last crash. */
    private fun expire(timeMilliseconds: Long) {
        val limit = timeMilliseconds - retentionMilliseconds
        val iterator = suspects.values.iterator()
        while (iterator.hasNext() && iterator.next().lastCrashMilliseconds <= limit) iterator.remove()
    }

    public companion object {
        /** Number of crashes from which a request is blocked. */
        public const val MAXIMUM_CRASHES: Int = 2

        /** One hour since the last crash. */
        public const val DEFAULT_RETENTION_MILLISECONDS: Long = 3_600_000

        /** 20 min: frees the reservation of a crashed sidecar, and exceeds the longest request budget of 17 min. */
        private const val RESERVATION_MILLISECONDS = 1_200_000L
    }
}

/** Outcome of the admission of a suspected request. */
@Serializable
public enum class SuspectStart {
    /** The request may run, and is reserved for this upstream meanwhile. */
    GRANTED,

    /** The request has no recorded crashes, or its record has expired. */
    NOT_SUSPECT,

    /** The request is already reserved for an upstream. */
    RUNNING,

    /** The request has reached the maximum number of crashes. */
    BLOCKED,
}

/** State of a [CrashLedger] in a snapshot, ordered by the time of the last crash. */
@Serializable
public class CrashState internal constructor(internal val suspects: Map<Long, SuspectRecord> = emptyMap())

@Serializable
internal data class SuspectRecord(
    val crashes: Int,
    val lastCrashMilliseconds: Long,
    val runningOn: InstanceName? = null,
    val reservedUntilMilliseconds: Long = 0,
)
