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

internal class ManualClock {
    private val nanoseconds = AtomicLong()

    fun now(): Moment = Moment(nanoseconds.get())

    fun advance(duration: Duration) = nanoseconds.addAndGet(duration.inWholeNanoseconds)
}

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

    suspend fun next(): Message {
        while (true) messages.receive().let { if (it !is LinkMessage.Heartbeat) return it }
    }
}

/** A peer that writes any bytes. */
internal class RawPeer(endpoint: Endpoint) : AutoCloseable {
    private val socket = Socket(endpoint.host, endpoint.port)
    private val output = DataOutputStream(socket.getOutputStream())
    private val input = DataInputStream(socket.getInputStream())

    fun frame(bytes: ByteArray) {
        output.writeInt(bytes.size)
        raw(bytes)
    }

    fun raw(bytes: ByteArray) {
        output.write(bytes)
        output.flush()
    }

    fun prefix(length: Int) = output.writeInt(length)

    fun greet(version: Int = LinkLimits.PROTOCOL_VERSION) = frame(FrameCodec.encode(hello("raw", version)))

    /** Sends [bytes] as a part of a frame that goes on. */
    fun chunk(bytes: ByteArray) {
        output.writeInt(bytes.size or MORE_FLAG)
        raw(bytes)
    }

    fun read(): Message = read(input.readInt())

    private fun read(size: Int): Message {
        val bytes = ByteArray(size)
        input.readFully(bytes)
        return (FrameCodec.decode(bytes) as DecodedFrame.Whole).message
    }

    /** Reads until the other side confirms that it has read [CONFIRMED_BYTES]. */
    fun readConfirmation() {
        var header = input.readInt()
        while (header >= 0) {
            read(header)
            header = input.readInt()
        }
    }

    fun send(message: Message) = frame(FrameCodec.encode(message))

    /** Reads messages up to the next heartbeat. Throws an [java.io.EOFException] if the connection ends before. */
    fun readHeartbeat() {
        var message = read()
        while (message !is LinkMessage.Heartbeat) message = read()
    }

    /** Reads until the other side closes the connection and returns the messages. */
    fun readToEnd(): List<Message> = buildList {
        while (true) add(runCatching { read() }.getOrNull() ?: break)
    }

    override fun close() = socket.close()

    companion object {
        /** Bytes that are confirmed at once. */
        const val CONFIRMED_BYTES = 16 * 1_024
        private const val MORE_FLAG = 1 shl 30
    }
}
