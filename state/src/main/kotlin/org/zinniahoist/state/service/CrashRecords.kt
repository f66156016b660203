package org.zinniahoist.state.service

import kotlinx.serialization.Serializable
import org.zinniahoist.model.UpstreamIdentity
import kotlin.time.Duration

/**
 * A crash of [upstream] while it ran the request [fingerprint].
 *
 * @property timeMilliseconds time of the crash on the clock of the replicated log.
 */
@Serializable
public data class RecordedCrash(
    public val fingerprint: Long,
    public val upstream: UpstreamIdentity,
    public val timeMilliseconds: Long,
)

/**
 * Crashes of upstreams whose requests have not completed since, which must be known when all processes were lost.
 *
 * Whether a request is blocked is decided by each process from what it knows; this only keeps the observations. The
 * identity of an upstream appears once for each request, as clocks of leaders differ by more than a restart takes. Only
 * the thread of the replica changes it; other threads see a consistent recent state.
 *
 * @param retention time for which a crash is kept.
 * @param capacity maximum number of requests. Those with the fewest crashes are evicted first, the oldest among them.
 */
public class CrashRecords(
    private val retention: Duration,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    /** Crashes by the fingerprint of their request, in the order in which they were recorded. */
    @Volatile
    public var byRequest: Map<Long, List<RecordedCrash>> = emptyMap()
        private set

    /** All crashes. */
    public val all: List<RecordedCrash> get() = byRequest.values.flatten()

    /** Returns true if a crash of [upstream] at a run of the request [fingerprint] is recorded. */
    public fun contains(fingerprint: Long, upstream: UpstreamIdentity): Boolean =
        byRequest[fingerprint].orEmpty().any { it.upstream == upstream }

    /** Applies [command], which was proposed at [timeMilliseconds]. */
    internal fun record(command: ServiceCommand.RecordCrashes, timeMilliseconds: Long) {
        val remaining = LinkedHashMap(byRequest - command.completed.toSet())
        for (report in command.crashes) {
            val known = remaining[report.fingerprint].orEmpty()
            if (known.any { it.upstream == report.upstream }) continue
            val crash = RecordedCrash(report.fingerprint, report.upstream, timeMilliseconds - report.ageMilliseconds)
            remaining[report.fingerprint] = known + crash
        }
        while (remaining.size > capacity) remaining.remove(remaining.entries.minBy { it.value.size }.key)
        byRequest = remaining
    }

    /** Removes the crashes that are older than the retention at [timeMilliseconds]. */
    internal fun expire(timeMilliseconds: Long) {
        if (byRequest.isEmpty()) return
        val oldest = timeMilliseconds - retention.inWholeMilliseconds
        if (byRequest.values.none { crashes -> crashes.any { it.timeMilliseconds < oldest } }) return
        byRequest = byRequest
            .mapValues { (_, crashes) -> crashes.filter { it.timeMilliseconds >= oldest } }
            .filterValues { it.isNotEmpty() }
    }

    /** Replaces the content with that of a snapshot. */
    internal fun restore(crashes: List<RecordedCrash>) {
        byRequest = crashes.groupBy { it.fingerprint }
    }

    private companion object {
        const val DEFAULT_CAPACITY = 1_024
    }
}
