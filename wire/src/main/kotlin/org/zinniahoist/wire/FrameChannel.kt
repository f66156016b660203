package org.zinniahoist.wire

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.io.IOException

/** Length-prefixed frames on a socket. One coroutine reads and one writes. */
internal class FrameChannel(
    private val socket: Socket,
    private val maximumFrameBytes: Int,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    suspend fun read(): Message {
        val length = input.readInt()
        // Checked before the allocation: a peer must not make this process reserve memory by four bytes.
        if (length !in 1..maximumFrameBytes) throw FrameException("frame of $length bytes")
        val bytes = ByteArray(length)
        input.readFully(bytes)
        return when (val frame = FrameCodec.decode(bytes)) {
            is DecodedFrame.Whole -> frame.message
            is DecodedFrame.Damaged -> throw FrameException("damaged frame: ${frame.detail}")
        }
    }

    suspend fun write(frame: ByteArray) {
        output.writeInt(frame.size)
        output.writeFully(frame)
    }

    suspend fun flush() = output.flush()

    fun close() = socket.close()
}

/** A frame that is too large, damaged or of an unknown kind. */
internal class FrameException(message: String) : IOException(message)
