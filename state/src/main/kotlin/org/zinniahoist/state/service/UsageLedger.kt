package org.zinniahoist.state.service

import kotlinx.serialization.Serializable
import org.zinniahoist.model.WorkspaceName

/**
 * Closed windows of the usage reports.
 *
 * Only the thread of the replica changes it; other threads see a consistent recent state of each property.
 */
public class UsageLedger {
    /** The newest closed window, or null if none has been closed. */
    @Volatile
    public var newestClosed: Long? = null
        private set

    /** Requests by workspace of the closed windows that are neither reported nor dropped, by window. */
    @Volatile
    public var unreported: Map<Long, Map<WorkspaceName, Long>> = emptyMap()
        private set

    /** Closes a window, unless it or a later one is closed: the first counts in the log stay. */
    internal fun close(command: ServiceCommand.CloseUsageWindow) {
        if (newestClosed?.let { command.window <= it } == true) return
        unreported = unreported + (command.window to command.counts)
        newestClosed = command.window
    }

    internal fun forget(window: Long) {
        unreported = unreported - window
    }

    internal fun snapshot(): UsageSnapshot = UsageSnapshot(newestClosed, unreported)

    internal fun restore(snapshot: UsageSnapshot) {
        unreported = snapshot.unreported
        newestClosed = snapshot.newestClosed
    }
}

/** Snapshot form of a [UsageLedger]. */
@Serializable
internal class UsageSnapshot(
    val newestClosed: Long? = null,
    val unreported: Map<Long, Map<WorkspaceName, Long>> = emptyMap(),
)
