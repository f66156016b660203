package org.zinniahoist.policy.connections

import org.zinniahoist.model.Moment

/**
 * How far the output of a connection has been written to its peer. Two equal values with [pendingBytes] above 0 say
 * that nothing was written in between.
 */
public data class OutputProgress(
    /** Bytes of all messages that are not completely written. */
    public val pendingBytes: Long,
    /** Bytes that were written of the first of these messages. */
    public val writtenOfFirst: Long,
)

/** Decides whether one connection, opened at [openedAt], is closed because its client does not go on. */
public class ConnectionWatch(
    private val limits: ConnectionLimits,
    private val openedAt: Moment,
) {
    private var hasSent = false
    private var headSince: Moment? = null
    private var output = NOTHING_PENDING
    private var outputSince = openedAt

    /** Records at [now] that bytes arrived; [isHeadIncomplete] says whether they belong to a head without its end. */
    public fun onBytes(isHeadIncomplete: Boolean, now: Moment) {
        hasSent = true
        headSince = if (isHeadIncomplete) headSince ?: now else null
    }

    /** Returns the reason to close the connection at [now], or null. Must be called several times a time-out. */
    public fun closingReason(progress: OutputProgress, now: Moment): ClosingReason? {
        if (progress != output || progress.pendingBytes == 0L) {
            output = progress
            outputSince = now
        }
        return when {
            now - outputSince >= limits.unreadTimeout -> ClosingReason.UNREAD_RESPONSE
            headSince?.let { now - it >= limits.headTimeout } == true -> ClosingReason.PARTIAL_HEAD
            !hasSent && now - openedAt >= limits.firstByteTimeout -> ClosingReason.NO_REQUEST
            else -> null
        }
    }

    private companion object {
        val NOTHING_PENDING = OutputProgress(pendingBytes = 0, writtenOfFirst = 0)
    }
}
