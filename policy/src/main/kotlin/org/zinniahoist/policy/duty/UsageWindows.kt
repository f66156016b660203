package org.zinniahoist.policy.duty

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Divides wall time into the windows of the usage reports. Window k begins k times [length] after the start of 1970.
 *
 * @param lateness time after the end of a window at which its report is due.
 */
public class UsageWindows(
    length: Duration,
    lateness: Duration,
) {
    private val lengthMilliseconds = length.inWholeMilliseconds
    private val closingDelayMilliseconds = (lateness * CLOSING_SHARE).inWholeMilliseconds

    /** Returns the window that contains the time [wallMilliseconds]. */
    public fun windowAt(wallMilliseconds: Long): Long = wallMilliseconds.floorDiv(lengthMilliseconds)

    /** Returns the oldest window whose counts an entry keeps at [wallMilliseconds]. */
    public fun oldestCounted(wallMilliseconds: Long): Long =
        windowAt(wallMilliseconds - COUNT_RETENTION.inWholeMilliseconds)

    /** Returns the oldest window that is still closed and reported at [wallMilliseconds]. */
    public fun oldestReported(wallMilliseconds: Long): Long =
        windowAt(wallMilliseconds - REPORT_RETENTION.inWholeMilliseconds)

    /**
     * Returns the window to close at [wallMilliseconds], or null if none is due. Windows close in order.
     *
     * @param newestClosed the newest closed window, or null if none has been closed.
     * @param first the window to close first if none has been closed.
     */
    public fun dueForClosing(wallMilliseconds: Long, newestClosed: Long?, first: Long): Long? {
        val newestDue = windowAt(wallMilliseconds - closingDelayMilliseconds) - 1
        val next = if (newestClosed == null) first else newestClosed + 1
        return maxOf(next, oldestReported(wallMilliseconds)).takeIf { it <= newestDue }
    }

    private companion object {
        /** Entries report once a second and a new leader waits for 3 s; the rest of the lateness is for the report. */
        const val CLOSING_SHARE = 0.6

        /** Bounds the memory of an entry that has lost the service group. */
        val COUNT_RETENTION = 60.seconds

        /** Bounds the replicated state while the platform accepts no reports. */
        val REPORT_RETENTION = 120.seconds
    }
}
