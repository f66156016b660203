package org.zinniahoist.gateway.framing

import io.netty.buffer.ByteBuf

/** Finds the end of a block of lines, such as the head of a message, in bytes that arrive in pieces. */
internal class HeadScanner {
    private var scannedBytes = 0
    private var lineStart = 0

    /** True once a whole line has been seen. */
    val hasLine: Boolean get() = lineStart > 0

    /**
     * Returns the number of bytes up to and with the empty line that ends the block, or null if [input] does not hold
     * it yet. [input] must begin with the same bytes at each call.
     *
     * @throws MessageFaultException if a line ends without a carriage return.
     */
    fun findEnd(input: ByteBuf): Int? {
        val start = input.readerIndex()
        while (true) {
            val position = input.indexOf(start + scannedBytes, input.writerIndex(), LINE_FEED) - start
            if (position < 0) break
            if (position == 0 || input.getByte(start + position - 1) != CARRIAGE_RETURN) {
                throw MessageFaultException(MessageFault.FIELD)
            }
            val isEmpty = position - 1 == lineStart
            scannedBytes = position + 1
            lineStart = position + 1
            if (isEmpty) return position + 1
        }
        scannedBytes = input.readableBytes()
        return null
    }

    /** Makes the scanner ready for another block. */
    fun reset() {
        scannedBytes = 0
        lineStart = 0
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
