package org.zinniahoist.daemon.timeline

import io.github.oshai.kotlinlogging.KotlinLogging

/** Writes each event as one line of key=value pairs to the log. */
public class LogRecorder(private val instance: String) : EventRecorder {
    override fun record(name: String, fields: Map<String, Any?>) {
        logger.info {
            (listOf("event" to name, "instance" to instance) + fields.toList().filter { it.first != "instance" })
                .joinToString(" ") { (key, value) -> "$key=${quote(value)}" }
        }
    }

    private fun quote(value: Any?): String {
        val text = value.toString()
        return if (text.any { it.isWhitespace() || it == '"' || it == '=' }) "\"${text.replace("\"", "'")}\"" else text
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
