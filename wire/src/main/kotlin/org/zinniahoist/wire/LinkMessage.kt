package org.zinniahoist.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.Upstream

/** Messages that open, monitor and close a link. */
@Serializable
public sealed interface LinkMessage : Message {
    /** First message of each side, which identifies it. A link between different protocol versions is refused. */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        public val protocolVersion: Int,
        public val instance: InstanceName,
        public val incarnation: Incarnation,
        public val failureDomain: FailureDomain,
        public val roles: Set<Role>,
        public val upstream: Upstream? = null,
    ) : LinkMessage

    /** Sent by both sides every [LinkLimits.heartbeatInterval], 500 ms by default. */
    @Serializable
    @SerialName("heartbeat")
    public data class Heartbeat(
        public val sequence: Long,
        /** Sequence number of the last heartbeat received from the peer, or -1. */
        public val echo: Long,
        public val draining: Boolean,
        public val settingsRevision: Revision,
        public val load: LoadReport? = null,
        /** See [HeartbeatContent.isCaughtUp]. */
        public val isCaughtUp: Boolean = false,
    ) : LinkMessage

    /** Last message before the sender closes the link, with the reason. */
    @Serializable
    @SerialName("goodbye")
    public data class Goodbye(public val reason: String) : LinkMessage
}
