package org.zinniahoist.gateway.upstream

/** Enforces the event size limit on a relayed stream without buffering it. Accepts LF and CRLF line ends. */
internal class EventSizeLimiter(private val limits: ResponseLimits) {
    private var eventBytes = 0
    private var isLineEmpty = false

    /**
     * Counts relayed [bytes].
     *
     * @throws AnswerTooLongException if an event exceeds [ResponseLimits.eventBytes].
     */
    fun count(bytes: ByteArray) {
        for (byte in bytes) {
            if (byte == CARRIAGE_RETURN) continue
            val isLineFeed = byte == LINE_FEED
            if (isLineFeed && isLineEmpty) eventBytes = 0 else eventBytes++
            isLineEmpty = isLineFeed
            if (eventBytes > limits.eventBytes) {
                throw AnswerTooLongException(AnswerPart.EVENT, limits.eventBytes.toLong())
            }
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
