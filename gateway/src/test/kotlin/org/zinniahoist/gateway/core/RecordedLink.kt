package org.zinniahoist.gateway.core

import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Role
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.Message

/** A link to a process with [role] that records the offered messages. */
internal class RecordedLink(
    instance: String,
    role: Role,
) : LinkConnection {
    val offered = ArrayList<Message>()

    /** True while the send queue of the link is full. */
    var isFull = false

    override val peer = LinkMessage.Hello(
        LinkLimits.PROTOCOL_VERSION,
        InstanceName(instance),
        Incarnation(1),
        FailureDomain("a", Region("r")),
        setOf(role),
    )
    override val lastHeartbeatReceived: Long = -1

    override fun heartbeatSentAt(sequence: Long): Moment? = null

    override suspend fun send(message: Message): Boolean = offer(message)

    override fun offer(message: Message): Boolean = !isFull && offered.add(message)

    override fun close(reason: String): Unit = Unit
}
