package org.zinniahoist.wire

import org.zinniahoist.model.Moment

/** An open link to another daemon. */
public interface LinkConnection {
    /** The `Hello` that the peer sent. */
    public val peer: LinkMessage.Hello

    /** Sequence number of the last heartbeat received from the peer. */
    public val lastHeartbeatReceived: Long

    /** Number of headers and chunks received so far. Grows as long as the peer sends. */
    public val received: Long get() = 0

    /** Frames that are queued on this side and not yet written. */
    public val unsent: UnsentFrames get() = UnsentFrames.NONE

    /** Returns when the heartbeat with [sequence] was sent on this link, or null if it is no longer recorded. */
    public fun heartbeatSentAt(sequence: Long): Moment?

    /** Enqueues [message], suspending while the send queue is full. Returns false if the link is closed. */
    public suspend fun send(message: Message): Boolean

    /**
     * Enqueues [message] without suspending. Returns false if the send queue has reached its limit of frames or bytes,
     * or if the link is closed.
     */
    public fun offer(message: Message): Boolean

    /** Closes the link after sending the queued messages and a `Goodbye` with [reason]. */
    public fun close(reason: String)
}

/**
 * Number and size of the frames that a link has not yet written, including the one being written.
 *
 * @property bytes size of the frames in bytes before compression.
 */
public data class UnsentFrames(
    public val frames: Int,
    public val bytes: Long,
) {
    public companion object {
        /** No unsent frames. */
        public val NONE: UnsentFrames = UnsentFrames(0, 0)
    }
}

/** Receives the events of links. Calls for one link are sequential; calls for different links are concurrent. */
public interface LinkHandler {
    /** Called when the link is open, after the exchange of `Hello` messages. */
    public fun onOpen(link: LinkConnection)

    /** Called for each message but `Hello` and `Goodbye`; for heartbeats, after the link has processed them. */
    public suspend fun onMessage(link: LinkConnection, message: Message)

    /** Called when a connection attempt is refused, because no process listens at the address. */
    public fun onRefused(): Unit = Unit

    /** Called when the link is closed, as the last call for it. */
    public fun onClosed(link: LinkConnection, cause: LinkCloseCause)
}

/** Reason for which a link was closed. */
public sealed interface LinkCloseCause {
    /** This side closed the link. */
    public data object Local : LinkCloseCause

    /** The peer closed the link with a `Goodbye`. */
    public data class Goodbye(public val reason: String) : LinkCloseCause

    /** Nothing was received from the peer for [LinkLimits.silenceLimit]. */
    public data object Silent : LinkCloseCause

    /** The peer sent a frame that is too large, corrupt or of an unknown type, or the handler of this side failed. */
    public data class ProtocolError(public val detail: String) : LinkCloseCause

    /** The TCP connection was reset or ended without a `Goodbye`. */
    public data class ConnectionLost(public val detail: String) : LinkCloseCause
}
