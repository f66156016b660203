package org.zinniahoist.gateway.upstream

/** Checks events that are passed on, without holding them. Their lines end with or without a carriage return. */
internal class EventMeter(private val limits: AnswerLimits) {
    private var eventBytes = 0
    private var isLineEmpty = false

    /**
     * Notes bytes that pass.
     *
     * @throws AnswerTooLongException if no empty line comes for more bytes than an event has.
     */
    fun onBytes(bytes: ByteArray) {
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
