package org.zinniahoist.daemon.timeline

import org.zinniahoist.state.report.TimelineEvent

/** Returns [event] as key=value pairs in one line; values with other than plain characters are quoted. */
internal fun logLine(event: TimelineEvent): String {
    val pairs = listOf(
        "event" to event.name,
        "stamp" to event.stamp.toString(),
        "instance" to event.instance.value,
        "request" to event.request,
        "sample" to event.sample,
        "step" to event.step,
        "revision" to event.revision?.toString(),
        "trace" to event.trace,
        "span" to event.span,
    ) + event.fields.toList()
    return pairs.mapNotNull { (key, value) -> value?.let { "$key=${quoted(it)}" } }.joinToString(" ")
}

private val PLAIN = Regex("""[^\s\p{Cntrl}"=\\]+""")

private fun quoted(value: String): String {
    if (PLAIN.matches(value)) return value
    return value.fold(StringBuilder("\"")) { text, char ->
        when {
            char == '"' || char == '\\' -> text.append('\\').append(char)
            char == '\n' -> text.append("\\n")
            char.isISOControl() -> text.append("\\u%04x".format(char.code))
            else -> text.append(char)
        }
    }.append('"').toString()
}
