package org.zinniahoist.wire

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.io.ByteArrayOutputStream
import java.io.IOException

/**
 * Reads and writes frames on a socket. Supports one reading and one writing coroutine.
 *
 * A frame is sent in chunks. Each chunk has a length prefix, in which a flag marks that more chunks follow. A negative
 * length is not a chunk but acknowledges that many received bytes; the acknowledgements drive the [SendWindow].
 * Large frames are compressed, because links between failure domains are the most expensive part of a deployment.
 */
internal class FrameChannel(
    private val socket: Socket,
    private val maximumFrameBytes: Int,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val writeMutex = Mutex()
    private val window = SendWindow(SEND_WINDOW_BYTES)
    private var unacknowledgedBytes = 0

    /**
     * Reads the next message, whose frame may have [maximumBytes]. Calls [onProgress] after each header and each chunk.
     *
     * @throws FrameException if the frame is too large, corrupt or of an unknown message type.
     */
    suspend fun read(maximumBytes: Int = maximumFrameBytes, onProgress: () -> Unit): Message {
        val bytes = readFrame(maximumBytes, onProgress)
        return when (val frame = FrameCodec.decode(bytes)) {
            is DecodedFrame.Whole -> frame.message
            is DecodedFrame.Damaged -> throw FrameException("corrupt frame: ${frame.detail}")
        }
    }

    private suspend fun readFrame(maximumBytes: Int, onProgress: () -> Unit): ByteArray {
        val parts = ByteArrayOutputStream(0)
        while (true) {
            val header = input.readInt()
            onProgress()
            if (header < 0) {
                release(-header)
                continue
            }
            val size = header and SIZE_MASK
            // Checked before the allocation, so that a length prefix alone can't make this process allocate memory.
            if (size !in 1..maximumBytes - parts.size()) throw FrameException("invalid frame length $size")
            val chunk = ByteArray(size)
            input.readFully(chunk)
            onProgress()
            acknowledge(size)
            parts.write(chunk)
            if (header and MORE_FLAG != 0) continue
            val frame = if (parts.size() == size) chunk else parts.toByteArray()
            return if (header and COMPRESSED_FLAG != 0) FrameCompression.decompress(frame, maximumBytes) else frame
        }
    }

    /**
     * Applies an acknowledgement of [size] bytes. Peers acknowledge at least [ACKNOWLEDGEMENT_BYTES] at once, so a
     * smaller number is a corrupt length.
     */
    private fun release(size: Int) {
        if (size < ACKNOWLEDGEMENT_BYTES || !window.release(size)) throw FrameException("invalid frame length ${-size}")
    }

    private suspend fun acknowledge(size: Int) {
        unacknowledgedBytes += size
        if (unacknowledgedBytes < ACKNOWLEDGEMENT_BYTES) return
        val acknowledged = unacknowledgedBytes
        unacknowledgedBytes = 0
        writeMutex.withLock {
            output.writeInt(-acknowledged)
            output.flush()
        }
    }

    /** Writes [frame], compressed if that makes it smaller, and suspends while the send window is full. */
    suspend fun write(frame: ByteArray) {
        val isCompressed = frame.size >= COMPRESSION_THRESHOLD_BYTES && FrameCompression.isCompressible(frame)
        val compressed = if (isCompressed) FrameCompression.compress(frame) else frame
        if (compressed.size < frame.size) writeChunks(compressed, COMPRESSED_FLAG) else writeChunks(frame, flags = 0)
    }

    private suspend fun writeChunks(frame: ByteArray, flags: Int) {
        var offset = 0
        while (offset < frame.size) {
            val size = minOf(CHUNK_BYTES, frame.size - offset)
            if (!window.tryReserve(size)) {
                flush()
                window.reserve(size)
            }
            val more = if (offset + size < frame.size) MORE_FLAG else 0
            writeMutex.withLock {
                output.writeInt(size or flags or more)
                output.writeFully(frame, offset, offset + size)
            }
            offset += size
        }
    }

    suspend fun flush() = writeMutex.withLock { output.flush() }

    fun close() = socket.close()

    private companion object {
        /** Less than even small socket buffers hold; suffices for round trips of milliseconds within a region. */
        const val SEND_WINDOW_BYTES = 32L * 1_024

        /** Number of received bytes after which an acknowledgement is sent. */
        const val ACKNOWLEDGEMENT_BYTES = 16 * 1_024
        const val CHUNK_BYTES = 8 * 1_024
        const val MORE_FLAG = 1 shl 30
        const val COMPRESSED_FLAG = 1 shl 29
        const val SIZE_MASK = COMPRESSED_FLAG - 1

        /** Smaller frames gain little from compression. */
        const val COMPRESSION_THRESHOLD_BYTES = 1_024
    }
}

/** Signals a frame that is too large, corrupt or of an unknown message type. */
internal class FrameException(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)
