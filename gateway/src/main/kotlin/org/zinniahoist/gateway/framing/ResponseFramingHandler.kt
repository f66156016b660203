package org.zinniahoist.gateway.framing

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageDecoder

/**
 * Reads the responses on one connection to an upstream before the HTTP library does, and passes on only what has one
 * meaning. In place of a faulty response it passes on one that the library can't read, so that the call fails and its
 * connection closes. It closes a connection on which bytes arrive while no request waits for them.
 *
 * Heads and lines that are too long are passed on as they are, because the library reports its own limits.
 *
 * @param onFault called on the event loop of the connection for each faulty response.
 */
internal class ResponseFramingHandler(private val onFault: (MessageFault) -> Unit) : ByteToMessageDecoder() {
    private val scanner = HeadScanner()
    private val body = BodyReader(MAXIMUM_BLOCK_BYTES, MAXIMUM_BLOCK_BYTES)

    /** Method of the request that waits for the head of its response, or null if none does. */
    private var method: String? = null
    private var isUnchecked = false
    private var isRefused = false

    /** Expects the response to a request with [method], which is about to be written. */
    fun onRequest(method: String) {
        this.method = method
    }

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        try {
            when {
                isRefused -> input.skipBytes(input.readableBytes())
                isUnchecked -> output += input.readRetainedSlice(input.readableBytes())
                body.isComplete -> decodeHead(input, output)
                else -> body.read(input, output)
            }
        } catch (failure: MessageFaultException) {
            refuse(context, input, output, failure.fault)
        }
    }

    private fun decodeHead(input: ByteBuf, output: MutableList<Any>) {
        val requestMethod = method ?: throw MessageFaultException(MessageFault.UNEXPECTED)
        val length = scanner.findEnd(input)
        if ((length ?: input.readableBytes()) > MAXIMUM_BLOCK_BYTES) {
            throw MessageFaultException(MessageFault.HEAD_TOO_LONG)
        }
        if (length == null) return
        scanner.reset()
        val head = ResponseHead.parse(input.toString(input.readerIndex(), length, Charsets.ISO_8859_1), requestMethod)
        output += input.readRetainedSlice(length)
        if (!head.isInterim) method = null
        body.start(head.framing)
    }

    private fun refuse(
        context: ChannelHandlerContext,
        input: ByteBuf,
        output: MutableList<Any>,
        fault: MessageFault,
    ) {
        if (fault in LIBRARY_LIMITS) {
            isUnchecked = true
            output += input.newBuffer(body.withheld)
            output += input.readRetainedSlice(input.readableBytes())
            return
        }
        isRefused = true
        onFault(fault)
        input.skipBytes(input.readableBytes())
        if (fault == MessageFault.UNEXPECTED) {
            context.close()
            return
        }
        output += input.newBuffer(if (body.isComplete) INVALID_HEAD else body.invalidEnd)
    }

    private companion object {
        /** Above the limits of the library for lines, heads and trailers together. */
        const val MAXIMUM_BLOCK_BYTES = 32 shl 10
        const val INVALID_HEAD = "HTTP/1.1 !\r\n\r\n"
        val LIBRARY_LIMITS = setOf(MessageFault.HEAD_TOO_LONG, MessageFault.CHUNK_LINE_TOO_LONG)
    }
}
