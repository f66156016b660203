package org.zinniahoist.gateway.upstream

import org.zinniahoist.model.WeightVersion

/** One event of a stream. */
internal data class StreamEvent(
    val number: Long,
    val data: String,
    /** Set where the weights changed. */
    val version: WeightVersion?,
)

/**
 * Splits a body into server-sent events. An event counts once its closing empty line has arrived; one of more than
 * [maximumLength] characters is none.
 */
internal class EventParser(
    private val versionField: String,
    private val maximumLength: Int,
) {
    private val pending = StringBuilder()

    /** Characters of [pending] that hold no end of an event. */
    private var searched = 0
    private val decoder = Utf8Accumulator()

    /** True if bytes of an unfinished event are held. */
    val hasRest: Boolean get() = pending.isNotBlank() || decoder.hasRest

    /**
     * Returns the events that [bytes] completes, or null if they are no events.
     *
     * @throws AnswerTooLongException if an event is too long.
     */
    fun feed(bytes: ByteArray): List<StreamEvent>? {
        pending.append(decoder.feed(bytes))
        val events = ArrayList<StreamEvent>()
        var start = 0
        while (true) {
            val end = pending.indexOf(SEPARATOR, maxOf(start, searched))
            checkLength((if (end < 0) pending.length else end) - start)
            if (end < 0) break
            if (end > start) events += parse(pending.substring(start, end)) ?: return null
            start = end + SEPARATOR.length
        }
        pending.delete(0, start)
        // The last character may be the first of a separator.
        searched = (pending.length - 1).coerceAtLeast(0)
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

/** Decodes UTF-8 that arrives in pieces. */
private class Utf8Accumulator {
    private var rest = ByteArray(0)
    val hasRest: Boolean get() = rest.isNotEmpty()

    fun feed(bytes: ByteArray): String {
        val all = rest + bytes
        val whole = wholeLength(all)
        rest = all.copyOfRange(whole, all.size)
        return String(all, 0, whole, Charsets.UTF_8)
    }

    /** Returns how many bytes of [all] end with a whole character. */
    private fun wholeLength(all: ByteArray): Int {
        var start = all.size - 1
        while (start >= 0 && all.size - start < MAXIMUM_CHARACTER_BYTES && isContinuation(all[start])) start--
        if (start < 0) return all.size
        val lead = all[start].toInt() and BYTE_MASK
        val length = when {
            lead >= FOUR_BYTES -> 4
            lead >= THREE_BYTES -> 3
            lead >= TWO_BYTES -> 2
            else -> 1
        }
        return if (start + length > all.size) start else all.size
    }

    private fun isContinuation(byte: Byte): Boolean = byte.toInt() and 0xC0 == 0x80

    private companion object {
        const val MAXIMUM_CHARACTER_BYTES = 4
        const val BYTE_MASK = 0xFF
        const val FOUR_BYTES = 0xF0
        const val THREE_BYTES = 0xE0
        const val TWO_BYTES = 0xC0
    }
}
