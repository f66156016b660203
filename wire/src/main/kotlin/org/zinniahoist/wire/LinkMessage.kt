package org.zinniahoist.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.model.Upstream

/** Keeps a link alive and says who is at its ends. */
@Serializable
public sealed interface LinkMessage : Message {
    /** First message of both sides. A link between incompatible versions is closed. */
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

    /** Sent every 500 ms by both sides. */
    @Serializable
    @SerialName("heartbeat")
    public data class Heartbeat(
        public val sequence: Long,
        /** Largest sequence number received from the other side. */
        public val echo: Long,
        public val draining: Boolean,
        public val settingsRevision: Revision,
        public val load: LoadReport? = null,
    ) : LinkMessage

    /** Says why the sender closes the link. */
    @Serializable
    @SerialName("goodbye")
    public data class Goodbye(public val reason: String) : LinkMessage
}
