package org.zinniahoist.daemon.sidecar

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Role
import org.zinniahoist.wire.AttemptMessage.AttemptChunk
import org.zinniahoist.wire.AttemptMessage.AttemptEnd
import org.zinniahoist.wire.LinkCloseCause
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.Message

/** The entry's end of a link, in memory. */
internal class FakeLink(
    private val sidecar: Sidecar,
    clock: () -> Moment,
    role: Role = Role.ENTRY,
) : LinkConnection {
    private val messages = MutableStateFlow<List<Message>>(emptyList())
    private val heartbeats = mapOf(HEARTBEAT to clock())

    @Volatile
    var closedWith: String? = null
        private set

    override val peer = LinkMessage.Hello(
        1,
        InstanceName("entry"),
        Incarnation(1),
        FailureDomain("a", Region("r")),
        setOf(role),
    )
    override val lastHeartbeatReceived = 0L

    override fun heartbeatSentAt(sequence: Long): Moment? = heartbeats[sequence]

    override suspend fun send(message: Message): Boolean = offer(message)

    override fun offer(message: Message): Boolean {
        if (closedWith != null) return false
        messages.update { it + message }
        return true
    }

    override fun close(reason: String) {
        closedWith = reason
        messages.update { it + LinkMessage.Goodbye(reason) }
    }

    fun chunks(attempt: String): List<AttemptChunk> = chunksIn(messages.value, attempt)

    /** Waits until [count] chunks of [attempt] are there. */
    suspend fun awaitChunks(attempt: String, count: Int) {
        messages.first { chunksIn(it, attempt).size >= count }
    }

    /** Waits for the end of [attempt]. Fails if the link was closed without one. */
    suspend fun end(attempt: String): AttemptEnd = messages
        .first { messages -> messages.any { it is LinkMessage.Goodbye || isEndOf(attempt, it) } }
        .single { isEndOf(attempt, it) } as AttemptEnd

    fun hasEnded(attempt: String): Boolean = messages.value.any { isEndOf(attempt, it) }

    /** Breaks the link. */
    fun lose() {
        close("lost")
        sidecar.onClosed(this, LinkCloseCause.Silent)
    }

    private fun isEndOf(attempt: String, message: Message) = message is AttemptEnd && message.attempt.value == attempt

    private fun chunksIn(messages: List<Message>, attempt: String) =
        messages.filterIsInstance<AttemptChunk>().filter { it.attempt.value == attempt }

    companion object {
        const val HEARTBEAT = 7L
    }
}
