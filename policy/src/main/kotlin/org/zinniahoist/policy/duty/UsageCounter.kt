package org.zinniahoist.policy.duty

import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WorkspaceName
import java.util.TreeMap
import kotlin.time.Duration

/** Requests by window and workspace. */
public typealias WindowCounts = Map<Long, Map<WorkspaceName, Long>>

/** Cumulative counts of an entry, of the windows that it does not know to be closed. */
public class UsageReport internal constructor(
    internal val version: Long,
    public val windows: WindowCounts,
    /** Time of all live requests since the start, in milliseconds, by service with scaling. */
    public val busyMilliseconds: Map<ServiceName, Long>,
)

/** Counts the requests of an entry by window and workspace, and decides when to report them. Thread-safe. */
public class UsageCounter(private val windows: UsageWindows) {
    private val counts = TreeMap<Long, HashMap<WorkspaceName, Long>>()
    private val busyMilliseconds = HashMap<ServiceName, Long>()
    private var version = 0L
    private var acceptedVersion = 0L
    private var acceptedTerm = 0L
    private var newestClosed = Long.MIN_VALUE

    /** Counts a request of [workspace] at [wallMilliseconds]. Returns false if that window is closed already. */
    @Synchronized
    public fun add(workspace: WorkspaceName, wallMilliseconds: Long): Boolean {
        val window = windows.windowAt(wallMilliseconds)
        if (window <= newestClosed) return false
        counts.computeIfAbsent(window) { HashMap() }.merge(workspace, 1L, Long::plus)
        version++
        return true
    }

    /** Adds the [time] of a live request of [service], which has ended. */
    @Synchronized
    public fun addBusy(service: ServiceName, time: Duration) {
        busyMilliseconds.merge(service, time.inWholeMilliseconds, Long::plus)
        version++
    }

    /**
     * Returns the report to send at [wallMilliseconds] to the leader of [term], or null if it has the same already.
     * A leader of a later term than the one that accepted the last report does not have it.
     */
    @Synchronized
    public fun pendingReport(wallMilliseconds: Long, term: Long): UsageReport? {
        counts.headMap(windows.oldestCounted(wallMilliseconds)).clear()
        val isKnown = version == acceptedVersion && term <= acceptedTerm
        val isEmpty = counts.isEmpty() && busyMilliseconds.isEmpty()
        if (isEmpty || isKnown) return null
        return UsageReport(
            version,
            counts.mapValues { (_, byWorkspace) -> byWorkspace.toMap() },
            busyMilliseconds.toMap(),
        )
    }

    /** Records that the leader of [term] has accepted [report] and that windows up to [closed] are closed. */
    @Synchronized
    public fun onAccepted(report: UsageReport, term: Long, closed: Long?) {
        acceptedVersion = report.version
        acceptedTerm = term
        if (closed == null) return
        newestClosed = maxOf(newestClosed, closed)
        counts.headMap(closed, true).clear()
    }
}
