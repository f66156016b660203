package org.zinniahoist.wire

import org.zinniahoist.model.Moment

/** An open link to another daemon. */
public interface LinkConnection {
    /** What the other side said of itself. */
    public val peer: LinkMessage.Hello

    /** Sequence number of the last heartbeat received from the other side. */
    public val lastHeartbeatReceived: Long

    /** Parts of frames that were received so far; grows while the other side sends. */
    public val received: Long get() = 0

    /** What waits here for sending. */
    public val unsent: UnsentFrames get() = UnsentFrames.NONE

    /** Returns when the heartbeat with [sequence] was sent on this link, or null if that is not known any more. */
    public fun heartbeatSentAt(sequence: Long): Moment?

    /** Queues [message] for sending and suspends while the queue is full. Returns false if the link is closed. */
    public suspend fun send(message: Message): Boolean

    /** Queues [message] if there is room, in frames and in bytes. Returns false if not, or if the link is closed. */
    public fun offer(message: Message): Boolean

    /** Closes the link after a `Goodbye` with [reason]. */
    public fun close(reason: String)
}

/**
 * Frames that wait for sending on a link, the one that is being written included.
 *
 * @property bytes their bytes before compression.
 */
public data class UnsentFrames(
    public val frames: Int,
    public val bytes: Long,
) {
    public companion object {
        /** Nothing waits. */
        public val NONE: UnsentFrames = UnsentFrames(0, 0)
    }
}

/** Receives the events of links. Calls for one link come in order; calls for different links are concurrent. */
public interface LinkHandler {
    /** The link is open and both sides have said hello. */
    public fun onOpen(link: LinkConnection)

    /** A message other than hello and goodbye was received. Heartbeats are passed on after the link has used them. */
    public suspend fun onMessage(link: LinkConnection, message: Message)

    /** An attempt to connect was refused: nobody listens at the address. */
    public fun onRefused(): Unit = Unit

    /** The link closed and nothing more is received from it. */
    public fun onClosed(link: LinkConnection, cause: LinkCloseCause)
}

/** Why a link closed. */
public sealed interface LinkCloseCause {
    /** This side closed it. */
    public data object Local : LinkCloseCause

    /** The other side said goodbye. */
    public data class Goodbye(public val reason: String) : LinkCloseCause

    /** Nothing was received for the silence limit. */
    public data object Silent : LinkCloseCause

    /** A frame was too large, damaged or of an unknown kind. */
    public data class ProtocolError(public val detail: String) : LinkCloseCause

    /** The connection broke. */
    public data class ConnectionLost(public val detail: String) : LinkCloseCause
}
