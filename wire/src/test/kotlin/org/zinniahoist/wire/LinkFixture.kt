package org.zinniahoist.wire

import kotlinx.coroutines.channels.Channel
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Region
import org.zinniahoist.model.Role
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

internal fun hello(name: String, version: Int = LinkLimits.PROTOCOL_VERSION) = LinkMessage.Hello(
    version,
    InstanceName(name),
    Incarnation(1),
    FailureDomain("a", Region("r")),
    setOf(Role.ENTRY),
)

/** Clock that advances only on demand. */
internal class ManualClock {
    private val nanoseconds = AtomicLong()

    fun now(): Moment = Moment(nanoseconds.get())

    fun advance(duration: Duration) = nanoseconds.addAndGet(duration.inWholeNanoseconds)
}

/** Records the events of links in channels. Suspends each message on [gate] before recording it. */
internal class RecordingHandler(private val gate: suspend () -> Unit = {}) : LinkHandler {
    val opened = Channel<LinkConnection>(Channel.UNLIMITED)
    val messages = Channel<Message>(Channel.UNLIMITED)
    val closed = Channel<LinkCloseCause>(Channel.UNLIMITED)
    val refused = Channel<Unit>(Channel.UNLIMITED)

    override fun onRefused() {
        refused.trySend(Unit)
    }

    override fun onOpen(link: LinkConnection) {
        opened.trySend(link)
    }

    override suspend fun onMessage(link: LinkConnection, message: Message) {
        gate()
        messages.send(message)
    }

    override fun onClosed(link: LinkConnection, cause: LinkCloseCause) {
        closed.trySend(cause)
    }

    /** Returns the next message that is not a heartbeat. */
    suspend fun nextMessage(): Message {
        while (true) messages.receive().let { if (it !is LinkMessage.Heartbeat) return it }
    }
}

/** Test peer on a plain socket that can send arbitrary bytes. */
internal class RawPeer(endpoint: Endpoint) : AutoCloseable {
    private val socket = Socket(endpoint.host, endpoint.port)
    private val output = DataOutputStream(socket.getOutputStream())
    private val input = DataInputStream(socket.getInputStream())

    fun sendFrame(bytes: ByteArray) {
        output.writeInt(bytes.size)
        writeBytes(bytes)
    }

    fun writeBytes(bytes: ByteArray) {
        output.write(bytes)
        output.flush()
    }

    fun sendLength(length: Int) = output.writeInt(length)

    fun sendHello(version: Int = LinkLimits.PROTOCOL_VERSION) = sendFrame(FrameCodec.encode(hello("raw", version)))

    /** Sends [bytes] as one chunk of a frame, flagged as followed by further chunks. */
    fun sendChunk(bytes: ByteArray) {
        output.writeInt(bytes.size or MORE_FLAG)
        writeBytes(bytes)
    }

    fun read(): Message = read(input.readInt())

    private fun read(size: Int): Message {
        val bytes = ByteArray(size)
        input.readFully(bytes)
        return (FrameCodec.decode(bytes) as DecodedFrame.Whole).message
    }

    /** Reads until an acknowledgement arrives, which the link sends for each [ACKNOWLEDGEMENT_BYTES]. */
    fun readAcknowledgement() {
        var header = input.readInt()
        while (header >= 0) {
            read(header)
            header = input.readInt()
        }
    }

    fun send(message: Message) = sendFrame(FrameCodec.encode(message))

    /** Reads messages up to the next heartbeat. Throws an [java.io.EOFException] if the connection ends first. */
    fun readHeartbeat() {
        var message = read()
        while (message !is LinkMessage.Heartbeat) message = read()
    }

    /** Reads until the link closes the connection and returns the messages received. */
    fun readToEnd(): List<Message> = buildList {
        while (true) add(runCatching { read() }.getOrNull() ?: break)
    }

    override fun close() = socket.close()

    companion object {
        /** Number of received bytes after which the link sends an acknowledgement. */
        const val ACKNOWLEDGEMENT_BYTES = 16 * 1_024
        private const val MORE_FLAG = 1 shl 30
    }
}
