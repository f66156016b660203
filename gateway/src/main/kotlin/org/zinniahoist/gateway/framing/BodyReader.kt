package org.zinniahoist.gateway.framing

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import java.nio.CharBuffer

/**
 * Finds the end of the body of one message after the other and passes the bodies on, with chunks in a form that has one
 * meaning: without extensions and trailers, which concern one connection only.
 *
 * @param maximumLineBytes longest line before a chunk.
 * @param maximumTrailerBytes most bytes of all trailers of a body.
 */
internal class BodyReader(
    private val maximumLineBytes: Int,
    private val maximumTrailerBytes: Int,
) {
    private enum class Stage { COMPLETE, BYTES, UNTIL_CLOSE, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS }

    private val scanner = HeadScanner()
    private var stage = Stage.COMPLETE

    /** Bytes of the body or of its current chunk that have not been passed on. */
    private var remainingBytes = 0L

    /** True if the body has ended, so that the next byte belongs to another message. */
    val isComplete: Boolean get() = stage == Stage.COMPLETE

    /** Bytes that make the reader of what was passed on so far fail. */
    val invalidEnd: String get() = if (stage == Stage.CHUNK_END) "\r\n$INVALID_SIZE" else INVALID_SIZE

    /** What was read of the current chunk line or trailers but not passed on. */
    val withheld: String get() = if (stage == Stage.TRAILERS) "0\r\n" else ""

    fun start(framing: BodyFraming) {
        remainingBytes = (framing as? BodyFraming.Length)?.bytes ?: 0
        stage = when {
            framing == BodyFraming.Chunked -> Stage.CHUNK_SIZE
            framing == BodyFraming.UntilClose -> Stage.UNTIL_CLOSE
            remainingBytes > 0 -> Stage.BYTES
            else -> Stage.COMPLETE
        }
    }

    /**
     * Moves bytes of the body from [input] to [output], if it holds enough of them.
     *
     * @throws MessageFaultException if the body is malformed.
     */
    fun read(input: ByteBuf, output: MutableList<Any>): Unit = when (stage) {
        Stage.COMPLETE -> Unit
        Stage.BYTES -> passBytes(input, output, next = Stage.COMPLETE)
        Stage.UNTIL_CLOSE -> output += input.readRetainedSlice(input.readableBytes())
        Stage.CHUNK_SIZE -> readSize(input, output)
        Stage.CHUNK_DATA -> passBytes(input, output, next = Stage.CHUNK_END)
        Stage.CHUNK_END -> readChunkEnd(input, output)
        Stage.TRAILERS -> readTrailers(input, output)
    }

    private fun passBytes(input: ByteBuf, output: MutableList<Any>, next: Stage) {
        val bytes = minOf(remainingBytes, input.readableBytes().toLong()).toInt()
        output += input.readRetainedSlice(bytes)
        remainingBytes -= bytes
        if (remainingBytes == 0L) stage = next
    }

    private fun readSize(input: ByteBuf, output: MutableList<Any>) {
        val end = input.indexOf(input.readerIndex(), input.writerIndex(), LINE_FEED)
        val length = if (end < 0) input.readableBytes() else end + 1 - input.readerIndex()
        if (length > maximumLineBytes) throw MessageFaultException(MessageFault.CHUNK_LINE_TOO_LONG)
        if (end < 0) return
        remainingBytes = ChunkSize.parse(input.toString(input.readerIndex(), length, Charsets.ISO_8859_1))
        input.skipBytes(length)
        if (remainingBytes == 0L) {
            stage = Stage.TRAILERS
            return
        }
        output += input.newBuffer("${remainingBytes.toString(ChunkSize.RADIX)}\r\n")
        stage = Stage.CHUNK_DATA
    }

    private fun readChunkEnd(input: ByteBuf, output: MutableList<Any>) {
        if (input.readableBytes() < LINE_END_BYTES) return
        if (!input.startsWithLineEnd()) throw MessageFaultException(MessageFault.CHUNK)
        output += input.readRetainedSlice(LINE_END_BYTES)
        stage = Stage.CHUNK_SIZE
    }

    /** Passes the end of the body on once the trailers are checked. */
    private fun readTrailers(input: ByteBuf, output: MutableList<Any>) {
        val length = scanner.findEnd(input)
        if ((length ?: input.readableBytes()) > maximumTrailerBytes) {
            throw MessageFaultException(MessageFault.HEAD_TOO_LONG)
        }
        if (length == null) return
        MessageHead.parseTrailers(input.toString(input.readerIndex(), length, Charsets.ISO_8859_1))
        input.skipBytes(length)
        scanner.reset()
        output += input.newBuffer(LAST_CHUNK)
        stage = Stage.COMPLETE
    }

    private companion object {
        const val LINE_END_BYTES = 2
        const val LINE_FEED = '\n'.code.toByte()
        const val LAST_CHUNK = "0\r\n\r\n"
        const val INVALID_SIZE = "!\r\n"
    }
}

/** Returns a buffer with the bytes of [text], of the same kind as this one. */
internal fun ByteBuf.newBuffer(text: String): ByteBuf =
    ByteBufUtil.encodeString(alloc(), CharBuffer.wrap(text), Charsets.ISO_8859_1)

/** Returns true if the next two bytes, which must be there, end a line. */
internal fun ByteBuf.startsWithLineEnd(): Boolean =
    getByte(readerIndex()) == '\r'.code.toByte() && getByte(readerIndex() + 1) == '\n'.code.toByte()
