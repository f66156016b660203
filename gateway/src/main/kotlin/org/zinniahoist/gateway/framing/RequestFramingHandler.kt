package org.zinniahoist.gateway.framing

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageDecoder

/**
 * Reads the requests of one client connection before the HTTP library does, and passes on only what has one meaning.
 *
 * Heads are passed on whole and with a [CarriedTarget]. A faulty head is replaced by a request for
 * [CarriedTarget.refusalPath], which is answered after the requests before it; a faulty body is passed on as one that
 * the library refuses. All bytes that follow a fault are discarded.
 *
 * HTTP/2 is not offered: an upgrade is ignored, and the preface of HTTP/2 is refused like any unknown version.
 *
 * @param identifierName field that identifies a request and that may stand in it once.
 * @param maximumUnderWay requests that the connection may have under way. The next one stays in the buffer until
 * [onResponseComplete] is called for one of them.
 * @param onFault called on the event loop of the connection for each refused message.
 */
internal class RequestFramingHandler(
    private val identifierName: String,
    private val maximumUnderWay: Int = Int.MAX_VALUE,
    private val onFault: (MessageFault) -> Unit,
) : ByteToMessageDecoder() {
    private val scanner = HeadScanner()
    private val body = BodyReader(MAXIMUM_CHUNK_LINE_BYTES, MAXIMUM_HEAD_BYTES)
    private var isRefused = false
    private var underWay = 0

    /** True if a complete request waits for the end of its response. */
    val isRequestComplete: Boolean get() = underWay > 0 && body.isComplete

    /** True if bytes of a further request wait for the end of the response to an earlier one. */
    val hasRequestAhead: Boolean get() = mustWait && actualReadableBytes() > 0

    /** True if the connection waits for the rest of a head. */
    val hasIncompleteHead: Boolean get() = body.isComplete && !mustWait && !isRefused && actualReadableBytes() > 0

    /** Memory of the bytes that have arrived but are not passed on. */
    val heldBytes: Int get() = internalBuffer().capacity()

    private val mustWait: Boolean get() = body.isComplete && underWay >= maximumUnderWay && !isRefused

    /** Passes on the next request if it waits in the buffer. Must be called on the event loop of the connection. */
    fun onResponseComplete(context: ChannelHandlerContext) {
        underWay--
        if (actualReadableBytes() == 0) return
        channelRead(context, Unpooled.EMPTY_BUFFER)
        channelReadComplete(context)
    }

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        try {
            when {
                isRefused -> input.skipBytes(input.readableBytes())
                mustWait -> Unit
                body.isComplete -> decodeHead(input, output)
                else -> body.read(input, output)
            }
        } catch (failure: MessageFaultException) {
            isRefused = true
            onFault(failure.fault)
            input.skipBytes(input.readableBytes())
            output += input.newBuffer(if (body.isComplete) refusal(failure.fault) else body.invalidEnd)
        }
    }

    private fun decodeHead(input: ByteBuf, output: MutableList<Any>) {
        if (!scanner.hasLine) skipEmptyLines(input)
        val length = scanner.findEnd(input)
        if ((length ?: input.readableBytes()) > MAXIMUM_HEAD_BYTES) {
            throw MessageFaultException(if (scanner.hasLine) MessageFault.HEAD_TOO_LONG else MessageFault.LINE_TOO_LONG)
        }
        if (length == null) return
        scanner.reset()
        val head = RequestHead.parse(input.readCharSequence(length, Charsets.ISO_8859_1).toString(), identifierName)
        output += input.newBuffer(head.forLibrary())
        underWay++
        body.start(head.framing)
    }

    /** RFC 9112, section 2.2: empty lines before a request are ignored. */
    private fun skipEmptyLines(input: ByteBuf) {
        while (input.readableBytes() >= LINE_END_BYTES && input.startsWithLineEnd()) {
            input.skipBytes(LINE_END_BYTES)
            scanner.reset()
        }
    }

    private fun refusal(fault: MessageFault): String =
        "GET ${CarriedTarget.refusalPath(fault.status)} HTTP/1.1\r\nhost: refused\r\nconnection: close\r\n\r\n"

    companion object {
        /** Most bytes of a head; the configuration in force may allow fewer. */
        const val MAXIMUM_HEAD_BYTES = 256 shl 10
        private const val MAXIMUM_CHUNK_LINE_BYTES = 4_096
        private const val LINE_END_BYTES = 2
    }
}
