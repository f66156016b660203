package org.zinniahoist.policy.connections

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits of the connections that clients open to one address of a process. */
public data class ConnectionLimits(
    /** Most connections that are open at the same time. */
    public val maximumConnections: Int,
    /** Time without activity after which a connection may be closed to make room for a new one. */
    public val reclaimableAfter: Duration = CLIENT_IDLE_TIME,
    /** Longest time from the first byte of the head of a request to its last. */
    public val headTimeout: Duration = CLIENT_IDLE_TIME,
    /** Longest time in which a client reads no byte of a response that waits for it. */
    public val unreadTimeout: Duration = CLIENT_IDLE_TIME,
    /** Longest time from the opening of a connection to the first byte of its first request. */
    public val firstByteTimeout: Duration = FIRST_BYTE_TIMEOUT,
) {
    public companion object {
        /** Longer than the 12 s for which clients keep an idle connection. */
        public val CLIENT_IDLE_TIME: Duration = 15.seconds

        /** The time after which the server closes connections that are idle between requests. */
        public val FIRST_BYTE_TIMEOUT: Duration = 60.seconds
    }
}

/** Why a process closes the connection of a client that does not keep to the [ConnectionLimits]. */
public enum class ClosingReason {
    /** All connections of the address are in use, and the new one is refused. */
    TOO_MANY,

    /** The connection was inactive for longest and makes room for a new one. */
    RECLAIMED,

    /** The client has not sent the first byte of a request in time. */
    NO_REQUEST,

    /** The client has not sent the rest of the head of a request in time. */
    PARTIAL_HEAD,

    /** The client has read no byte of a response for too long. */
    UNREAD_RESPONSE,

    /** The bytes of incomplete heads and of requests sent ahead take too much memory. */
    INPUT_MEMORY,
}
