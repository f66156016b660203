package org.zinniahoist.state.crashes

import kotlinx.serialization.Serializable
import org.zinniahoist.model.InstanceName

/**
 * Counts the upstream crashes that requests were involved in, and lets a suspected request run on one upstream at a
 * time.
 *
 * Requests are identified by the hash of their route and body. Times are milliseconds of the replicated log's clock.
 */
public class CrashLedger(private val retentionMilliseconds: Long = DEFAULT_RETENTION_MILLISECONDS) {
    private val suspects = LinkedHashMap<Long, SuspectRecord>()

    /** Records that an upstream crashed with the requests [fingerprints] on it. */
    public fun report(fingerprints: Set<Long>, timeMilliseconds: Long) {
        expire(timeMilliseconds)
        fingerprints.sorted().forEach { fingerprint ->
            val crashes = (suspects.remove(fingerprint)?.crashes ?: 0) + 1
            suspects[fingerprint] = SuspectRecord(crashes, timeMilliseconds)
        }
    }

    /** Decides whether a suspected request may start on [instance], and reserves its run if so. */
    public fun start(fingerprint: Long, instance: InstanceName, timeMilliseconds: Long): SuspectStart {
        expire(timeMilliseconds)
        val record = suspects[fingerprint] ?: return SuspectStart.NOT_SUSPECT
        val reserved = record.runningOn != null && timeMilliseconds < record.reservedUntilMilliseconds
        return when {
            record.crashes >= MAXIMUM_CRASHES -> SuspectStart.BLOCKED

            reserved -> SuspectStart.RUNNING

            else -> {
                val until = timeMilliseconds + RESERVATION_MILLISECONDS
                suspects[fingerprint] = record.copy(runningOn = instance, reservedUntilMilliseconds = until)
                SuspectStart.GRANTED
            }
        }
    }

    /** Records the end of a run without a crash. A request that finished is cleared. */
    public fun end(fingerprint: Long, instance: InstanceName, finished: Boolean) {
        val record = suspects[fingerprint] ?: return
        if (record.runningOn != instance || record.crashes >= MAXIMUM_CRASHES) return
        if (finished) suspects.remove(fingerprint) else suspects[fingerprint] = record.copy(runningOn = null)
    }

    /** Number of crashes of each suspected request. */
    public fun suspects(): Map<Long, Int> = suspects.mapValues { (_, record) -> record.crashes }

    /** Returns the whole state for a snapshot. */
    public fun capture(): CrashState = CrashState(suspects.toMap())

    /** Replaces the whole state with that of a snapshot. */
    public fun restore(state: CrashState) {
        suspects.clear()
        suspects.putAll(state.suspects)
    }

    /** Records are in the order of their last crash. */
    private fun expire(timeMilliseconds: Long) {
        val limit = timeMilliseconds - retentionMilliseconds
        val iterator = suspects.values.iterator()
        while (iterator.hasNext() && iterator.next().lastCrashMilliseconds <= limit) iterator.remove()
    }

    public companion object {
        /** Crashes after which a request is refused. */
        public const val MAXIMUM_CRASHES: Int = 2

        /** One hour. */
        public const val DEFAULT_RETENTION_MILLISECONDS: Long = 3_600_000

        /** Ends the reservation of a sidecar that died: longer than the longest budget of a request, 17 min. */
        private const val RESERVATION_MILLISECONDS = 1_200_000L
    }
}

/** Answer to the start of a suspected request. */
@Serializable
public enum class SuspectStart {
    /** The request may run, and no other upstream gets it meanwhile. */
    GRANTED,

    /** The request is not suspected any more. */
    NOT_SUSPECT,

    /** The request runs on another upstream. */
    RUNNING,

    /** The request crashed as many upstreams as are allowed. */
    BLOCKED,
}

/** State of a [CrashLedger] in a snapshot, in the order of the last crashes. */
@Serializable
public class CrashState internal constructor(internal val suspects: Map<Long, SuspectRecord> = emptyMap())

@Serializable
internal data class SuspectRecord(
    val crashes: Int,
    val lastCrashMilliseconds: Long,
    val runningOn: InstanceName? = null,
    val reservedUntilMilliseconds: Long = 0,
)
