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
 * Frames on a socket. One coroutine reads and one writes.
 *
 * A frame is sent in chunks, each with its length in front; a flag says that more chunks follow. A negative length is
 * no chunk but confirms that so many bytes were read, which keeps the bytes on their way within a [SendWindow].
 * Large frames are compressed, as links between failure domains are the dearest part of a deployment.
 */
internal class FrameChannel(
    private val socket: Socket,
    private val maximumFrameBytes: Int,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val writing = Mutex()
    private val window = SendWindow(WINDOW_BYTES)
    private var unconfirmed = 0

    /** Reads the next message. Calls [onProgress] after each part that was read. */
    suspend fun read(onProgress: () -> Unit): Message {
        val bytes = readFrame(onProgress)
        return when (val frame = FrameCodec.decode(bytes)) {
            is DecodedFrame.Whole -> frame.message
            is DecodedFrame.Damaged -> throw FrameException("damaged frame: ${frame.detail}")
        }
    }

    private suspend fun readFrame(onProgress: () -> Unit): ByteArray {
        val parts = ByteArrayOutputStream(0)
        while (true) {
            val header = input.readInt()
            onProgress()
            if (header < 0) {
                release(-header)
                continue
            }
            val size = header and SIZE_MASK
            // Checked before the allocation: a peer must not make this process reserve memory by four bytes.
            if (size !in 1..maximumFrameBytes - parts.size()) throw FrameException("frame of $size bytes")
            val chunk = ByteArray(size)
            input.readFully(chunk)
            onProgress()
            confirm(size)
            parts.write(chunk)
            if (header and MORE_FLAG != 0) continue
            val whole = if (parts.size() == size) chunk else parts.toByteArray()
            return if (header and COMPRESSED_FLAG != 0) FrameCompression.expand(whole, maximumFrameBytes) else whole
        }
    }

    /** A peer confirms a large part of the window at once; any other negative length is damage. */
    private fun release(size: Int) {
        if (size < CONFIRMED_BYTES || !window.release(size)) throw FrameException("frame of ${-size} bytes")
    }

    private suspend fun confirm(size: Int) {
        unconfirmed += size
        if (unconfirmed < CONFIRMED_BYTES) return
        val confirmed = unconfirmed
        unconfirmed = 0
        writing.withLock {
            output.writeInt(-confirmed)
            output.flush()
        }
    }

    suspend fun write(frame: ByteArray) {
        val isCompressed = frame.size >= COMPRESSED_FROM_BYTES && FrameCompression.isWorthwhile(frame)
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
            writing.withLock {
                output.writeInt(size or flags or more)
                output.writeFully(frame, offset, offset + size)
            }
            offset += size
        }
    }

    suspend fun flush() = writing.withLock { output.flush() }

    fun close() = socket.close()

    private companion object {
        /** Below the buffers of sockets even where these are small; a round trip within a region takes milliseconds. */
        const val WINDOW_BYTES = 32L * 1_024
        const val CONFIRMED_BYTES = 16 * 1_024
        const val CHUNK_BYTES = 8 * 1_024
        const val MORE_FLAG = 1 shl 30
        const val COMPRESSED_FLAG = 1 shl 29
        const val SIZE_MASK = COMPRESSED_FLAG - 1

        /** Smaller frames hardly shrink. */
        const val COMPRESSED_FROM_BYTES = 1_024
    }
}

/** A frame that is too large, damaged or of an unknown kind. */
internal class FrameException(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)
