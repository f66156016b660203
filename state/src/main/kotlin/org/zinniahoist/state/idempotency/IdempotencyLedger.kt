package org.zinniahoist.state.idempotency

import kotlinx.serialization.Serializable
import org.zinniahoist.model.AttemptIdentifier

/**
 * Grants each idempotency key to one run within the retention period and stores the outcome of the run.
 *
 * A run is one attempt to execute a request.
 *
 * All times are milliseconds of the replicated log's clock, which never decreases.
 */
public class IdempotencyLedger(private val retentionMilliseconds: Long = DEFAULT_RETENTION_MILLISECONDS) {
    private val claims = LinkedHashMap<IdempotencyKey, ClaimRecord>()
    private val keysByRun = HashMap<AttemptIdentifier, IdempotencyKey>()
    private val releasedRuns = LinkedHashMap<AttemptIdentifier, Long>()

    /** Number of idempotency keys that are held. */
    public val size: Int get() = claims.size

    /** Grants [key] to [run] unless another run holds it. A repeated claim of the holder is granted again. */
    public fun claim(
        key: IdempotencyKey,
        bodyDigest: String,
        run: AttemptIdentifier,
        timeMilliseconds: Long,
    ): ClaimResult {
        expire(timeMilliseconds)
        if (run in releasedRuns) return ClaimResult.RunReleased
        val held = claims[key]
        return when {
            held == null -> grant(key, ClaimRecord(bodyDigest, run, timeMilliseconds))
            held.bodyDigest != bodyDigest -> ClaimResult.BodyConflict
            else -> answer(held, run)
        }
    }

    /** Stores the outcome of [run]. Returns false if the run holds no key. */
    public fun complete(run: AttemptIdentifier, outcome: StoredOutcome): Boolean =
        update(run) { it.copy(state = ClaimState.COMPLETED, outcome = outcome) }

    /** Records that [run] sent its request and that the outcome is unknown. Returns false if the run holds no key. */
    public fun markUnknown(run: AttemptIdentifier): Boolean =
        update(run) { if (it.state == ClaimState.GRANTED) it.copy(state = ClaimState.UNKNOWN) else it }

    /**
     * Releases the key of a [run] that has not sent its request, and rejects claims of the run that arrive later.
     *
     * Returns false if the outcome of the run is already recorded, as completed or unknown.
     */
    public fun release(run: AttemptIdentifier, timeMilliseconds: Long): Boolean {
        expire(timeMilliseconds)
        val key = keysByRun[run]
        val held = key?.let(claims::get)
        if (held != null && held.state != ClaimState.GRANTED) return false
        if (key != null) {
            claims.remove(key)
            keysByRun.remove(run)
        }
        releasedRuns[run] = timeMilliseconds
        return true
    }

    /** Returns a copy of the state for a snapshot. */
    public fun capture(): IdempotencyState = IdempotencyState(claims.toMap(), releasedRuns.toMap())

    /** Replaces the state with that of a snapshot. */
    public fun restore(state: IdempotencyState) {
        claims.clear()
        keysByRun.clear()
        releasedRuns.clear()
        claims.putAll(state.claims)
        releasedRuns.putAll(state.releasedRuns)
        state.claims.forEach { (key, record) -> keysByRun[record.run] = key }
    }

    private fun grant(key: IdempotencyKey, record: ClaimRecord): ClaimResult {
        claims[key] = record
        keysByRun[record.run] = key
        return ClaimResult.Granted
    }

    private fun answer(held: ClaimRecord, run: AttemptIdentifier): ClaimResult = when (held.state) {
        ClaimState.GRANTED -> if (held.run == run) ClaimResult.Granted else ClaimResult.InProgress
        ClaimState.UNKNOWN -> ClaimResult.OutcomeUnknown
        ClaimState.COMPLETED -> held.outcome?.let(ClaimResult::Completed) ?: ClaimResult.OutcomeUnknown
    }

    private fun update(run: AttemptIdentifier, change: (ClaimRecord) -> ClaimRecord): Boolean {
        val key = keysByRun[run] ?: return false
        claims.computeIfPresent(key) { _, record -> change(record) }
        return true
    }

    private fun expire(timeMilliseconds: Long) {
        val limit = timeMilliseconds - retentionMilliseconds
        val iterator = claims.entries.iterator()
        while (iterator.hasNext()) {
            val (_, record) = iterator.next()
            if (record.claimedAtMilliseconds > limit) break
            keysByRun.remove(record.run)
            iterator.remove()
        }
        val released = releasedRuns.entries.iterator()
        while (released.hasNext() && released.next().value <= limit) released.remove()
    }

    public companion object {
        /** 24 hours, because callers retry a request for at most a working day. */
        public const val DEFAULT_RETENTION_MILLISECONDS: Long = 86_400_000
    }
}

/** State of an [IdempotencyLedger] in a snapshot. Entries are ordered by time. */
@Serializable
public class IdempotencyState internal constructor(
    internal val claims: Map<IdempotencyKey, ClaimRecord>,
    internal val releasedRuns: Map<AttemptIdentifier, Long>,
)

@Serializable
internal data class ClaimRecord(
    val bodyDigest: String,
    val run: AttemptIdentifier,
    val claimedAtMilliseconds: Long,
    val state: ClaimState = ClaimState.GRANTED,
    val outcome: StoredOutcome? = null,
)

@Serializable
internal enum class ClaimState { GRANTED, UNKNOWN, COMPLETED }
