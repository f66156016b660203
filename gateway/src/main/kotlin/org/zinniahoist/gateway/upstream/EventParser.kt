package org.zinniahoist.gateway.upstream

import org.zinniahoist.model.WeightVersion

/** One server-sent event. */
internal data class StreamEvent(
    val number: Long,
    val data: String,
    /** The new weight version if the weights changed with this event, otherwise null. */
    val version: WeightVersion?,
)

/**
 * Parses a body into server-sent events. Returns an event once its terminating empty line has arrived and rejects one
 * of more than [maximumLength] characters.
 */
internal class EventParser(
    private val versionField: String,
    private val maximumLength: Int,
) {
    private val pending = StringBuilder()

    /** Length of the prefix of [pending] that is known to contain no separator. */
    private var searchedLength = 0
    private val decoder = IncrementalUtf8Decoder()

    /** True if an incomplete event is buffered. */
    val hasPartialEvent: Boolean get() = pending.isNotBlank() || decoder.hasPartialCharacter

    /**
     * Returns the events that [bytes] completes, or null if the input is malformed.
     *
     * @throws AnswerTooLongException if an event exceeds [maximumLength].
     */
    fun feed(bytes: ByteArray): List<StreamEvent>? {
        pending.append(decoder.feed(bytes))
        val events = ArrayList<StreamEvent>()
        var start = 0
        while (true) {
            val end = pending.indexOf(SEPARATOR, maxOf(start, searchedLength))
            checkLength((if (end < 0) pending.length else end) - start)
            if (end < 0) break
            if (end > start) events += parse(pending.substring(start, end)) ?: return null
            start = end + SEPARATOR.length
        }
        pending.delete(0, start)
        // The last character may be the start of a separator.
        searchedLength = (pending.length - 1).coerceAtLeast(0)
        return events
    }

    private fun checkLength(length: Int) {
        if (length > maximumLength) throw AnswerTooLongException(AnswerPart.EVENT, maximumLength.toLong())
    }

    private fun parse(block: String): StreamEvent? {
        var number: Long? = null
        var version: WeightVersion? = null
        val data = ArrayList<String>()
        for (line in block.split('\n')) {
            val field = line.substringBefore(':')
            val value = line.substringAfter(':', "").removePrefix(" ")
            when (field) {
                "id" -> number = value.trim().toLongOrNull() ?: return null
                "data" -> data += value
                versionField -> version = WeightVersion(value.trim().toLongOrNull() ?: return null)
                else -> Unit
            }
        }
        return StreamEvent(number ?: return null, data.joinToString("\n"), version)
    }

    private companion object {
        const val SEPARATOR = "\n\n"
    }
}

/** Decodes UTF-8 incrementally and buffers a character that is split between chunks. */
private class IncrementalUtf8Decoder {
    private var partial = ByteArray(0)
    val hasPartialCharacter: Boolean get() = partial.isNotEmpty()

    fun feed(bytes: ByteArray): String {
        val input = partial + bytes
        val complete = completeLength(input)
        partial = input.copyOfRange(complete, input.size)
        return String(input, 0, complete, Charsets.UTF_8)
    }

    /** Returns the length of the longest prefix of [input] that ends with a complete character. */
    private fun completeLength(input: ByteArray): Int {
        var start = input.size - 1
        while (start >= 0 && input.size - start < MAXIMUM_CHARACTER_BYTES && isContinuation(input[start])) start--
        if (start < 0) return input.size
        val lead = input[start].toInt() and BYTE_MASK
        val length = when {
            lead >= FOUR_BYTE_LEAD -> 4
            lead >= THREE_BYTE_LEAD -> 3
            lead >= TWO_BYTE_LEAD -> 2
            else -> 1
        }
        return if (start + length > input.size) start else input.size
    }

    private fun isContinuation(byte: Byte): Boolean = byte.toInt() and 0xC0 == 0x80

    private companion object {
        const val MAXIMUM_CHARACTER_BYTES = 4
        const val BYTE_MASK = 0xFF
        const val FOUR_BYTE_LEAD = 0xF0
        const val THREE_BYTE_LEAD = 0xE0
        const val TWO_BYTE_LEAD = 0xC0
    }
}
