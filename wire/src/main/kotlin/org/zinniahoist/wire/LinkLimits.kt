package org.zinniahoist.wire

import org.zinniahoist.model.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Times and sizes of links. */
public data class LinkLimits(
    public val heartbeatInterval: Duration = 500.milliseconds,
    /** Time after which a link is closed if nothing was read from the peer, not even a part of a frame. */
    public val silenceLimit: Duration = 2_500.milliseconds,
    /** Time between two checks for silence; a silent link is noticed this much later at most. */
    public val checkInterval: Duration = 50.milliseconds,
    /** Time in which a connection must be open; a machine without power answers nothing, and is asked again. */
    public val connectTimeout: Duration = 2.seconds,
    /** Time in which both sides of an open connection must have said hello. */
    public val openTimeout: Duration = 2.seconds,
    /** Time in which queued frames and the goodbye must be written when a link is closed. */
    public val closeTimeout: Duration = 1.seconds,
    /** Frames that wait for sending on one link. */
    public val sendQueueFrames: Int = 256,
    /** Bytes that wait for sending on one link, before compression, at which no frame is offered a place any more. */
    public val sendQueueBytes: Long = SEND_QUEUE_BYTES,
    public val maximumFrameBytes: Int = MAXIMUM_FRAME_BYTES,
    public val firstBackoff: Duration = 50.milliseconds,
    public val maximumBackoff: Duration = 2.seconds,
) {
    public companion object {
        /** 4 MiB hold the largest accepted request body with its envelope. */
        public const val MAXIMUM_FRAME_BYTES: Int = 4 * 1_024 * 1_024

        /** Twice what a consensus group lets go to one replica without an answer. */
        public const val SEND_QUEUE_BYTES: Long = 8L shl 20

        /** Version of the messages. A link between different versions is closed. */
        public const val PROTOCOL_VERSION: Int = 1
    }
}

/** The part of a heartbeat that the daemon supplies. */
public data class HeartbeatContent(
    public val draining: Boolean = false,
    public val settingsRevision: Revision = Revision.NONE,
    public val load: LoadReport? = null,
)
