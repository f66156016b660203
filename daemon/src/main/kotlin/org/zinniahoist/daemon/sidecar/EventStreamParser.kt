package org.zinniahoist.daemon.sidecar

import java.io.ByteArrayOutputStream
import java.io.IOException

/** Splits a stream of server-sent events, each of [maximumEvent] bytes at most, into the data of its events. */
internal class EventStreamParser(private val maximumEvent: Int = 1 shl 20) {
    private val line = ByteArrayOutputStream()

    /** Bytes of the lines of an event that has not ended, without their ends. */
    private var lineBytes = 0
    private var data: StringBuilder? = null
    private var lastWasReturn = false

    /** Returns the data of the events that [bytes] complete. */
    fun accept(bytes: ByteArray): List<String> {
        val events = mutableListOf<String>()
        for (byte in bytes) {
            val isReturn = byte == RETURN
            when {
                byte == NEWLINE && lastWasReturn -> Unit
                byte == NEWLINE || isReturn -> endLine(events)
                lineBytes >= maximumEvent -> throw IOException("an event is longer than $maximumEvent bytes")
                else -> append(byte)
            }
            lastWasReturn = isReturn
        }
        return events
    }

    private fun append(byte: Byte) {
        line.write(byte.toInt())
        lineBytes++
    }

    private fun endLine(events: MutableList<String>) {
        val text = line.toString(Charsets.UTF_8)
        line.reset()
        if (text.isEmpty()) {
            data?.let { events += it.toString() }
            data = null
            lineBytes = 0
        } else if (text.startsWith(FIELD)) {
            val value = text.substring(FIELD.length).removePrefix(" ")
            data = data?.append('\n')?.append(value) ?: StringBuilder(value)
        }
    }

    private companion object {
        const val FIELD = "data:"
        const val NEWLINE = '\n'.code.toByte()
        const val RETURN = '\r'.code.toByte()
    }
}
