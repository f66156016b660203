package org.zinniahoist.wire

import org.zinniahoist.model.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time-outs, intervals and size limits of links. */
public data class LinkLimits(
    public val heartbeatInterval: Duration = 500.milliseconds,
    /** Time without any byte read from the peer, even of a partial frame, after which a link is closed. */
    public val silenceLimit: Duration = 2_500.milliseconds,
    /** Interval of the checks for inactive peers. Delays the detection by this much at most. */
    public val checkInterval: Duration = 50.milliseconds,
    /** Time-out of a TCP connection attempt, which is then retried. An instance without power never answers. */
    public val connectTimeout: Duration = 2.seconds,
    /** Time-out of the exchange of `Hello` messages on a new connection. */
    public val openTimeout: Duration = 2.seconds,
    /** Time-out for writing the queued frames and the `Goodbye` when a link is closed. */
    public val closeTimeout: Duration = 1.seconds,
    /** Capacity of the send queue of a link, in frames. */
    public val sendQueueFrames: Int = 256,
    /** Size of the unsent frames of a link, in bytes before compression, from which `offer` rejects further frames. */
    public val sendQueueBytes: Long = SEND_QUEUE_BYTES,
    public val maximumFrameBytes: Int = MAXIMUM_FRAME_BYTES,
    /** Size limit of the first frame, which a peer sends before anything is known about it. */
    public val maximumHelloBytes: Int = MAXIMUM_HELLO_BYTES,
    /** Most connections that a [LinkServer] has open at the same time; it closes further ones. */
    public val maximumLinks: Int = MAXIMUM_LINKS,
    public val firstBackoff: Duration = 50.milliseconds,
    public val maximumBackoff: Duration = 2.seconds,
) {
    public companion object {
        /** 4 MiB, which fits the largest accepted request body and its envelope. */
        public const val MAXIMUM_FRAME_BYTES: Int = 4 * 1_024 * 1_024

        /** Some hundred times the size of the names in a `Hello`. */
        public const val MAXIMUM_HELLO_BYTES: Int = 64 * 1_024

        /** Above the 800 daemons and 21 control instances of the largest deployment planned. */
        public const val MAXIMUM_LINKS: Int = 1_024

        /** Twice the limit of unacknowledged bytes that a consensus group sends to one replica. */
        public const val SEND_QUEUE_BYTES: Long = 8L shl 20

        /** Version of the message format. A link between daemons of different versions is refused. */
        public const val PROTOCOL_VERSION: Int = 1
    }
}

/**
 * State of the daemon that each heartbeat reports to the peer.
 *
 * @property isCaughtUp true if the sender is a replica that knows as committed whatever its leader does.
 */
public data class HeartbeatContent(
    public val draining: Boolean = false,
    public val settingsRevision: Revision = Revision.NONE,
    public val load: LoadReport? = null,
    public val isCaughtUp: Boolean = false,
)
