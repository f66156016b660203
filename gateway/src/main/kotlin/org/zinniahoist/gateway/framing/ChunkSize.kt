package org.zinniahoist.gateway.framing

/** The line before each chunk of a body: its size in hexadecimal digits, and extensions. */
internal object ChunkSize {
    const val RADIX = 16

    /** Enough for all sizes that fit into a [Long]. */
    private const val MAXIMUM_DIGITS = 15
    private const val DIGITS = "0123456789abcdefABCDEF"

    /**
     * Returns the size in bytes that [line] states. Extensions are ignored.
     *
     * @throws MessageFaultException if it is malformed.
     */
    fun parse(line: String): Long {
        val text = line.removeSuffix(MessageHead.LINE_END)
        val digits = text.takeWhile { it in DIGITS }
        val rest = text.drop(digits.length)
        val isExtension = rest.isEmpty() || rest.trimStart(' ', '\t').startsWith(';')
        val isValid = text.length < line.length && digits.length in 1..MAXIMUM_DIGITS && isExtension
        if (!isValid || '\r' in rest) throw MessageFaultException(MessageFault.CHUNK)
        return digits.toLong(RADIX)
    }
}
