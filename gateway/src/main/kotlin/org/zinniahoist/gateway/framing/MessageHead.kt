package org.zinniahoist.gateway.framing

import org.zinniahoist.model.FieldSyntax

/** A field of a message, as HTTP/1.1 writes it; each character is one byte. */
internal data class MessageField(
    val name: String,
    val value: String,
) {
    fun isNamed(other: String): Boolean = name.equals(other, ignoreCase = true)
}

/** Start line and fields of a message of HTTP/1.1. */
internal class MessageHead(
    val startLine: String,
    val fields: List<MessageField>,
) {
    /** Returns the values of the fields named [name], in order. */
    fun valuesOf(name: String): List<String> = fields.filter { it.isNamed(name) }.map { it.value }

    companion object {
        /**
         * Parses the lines of [text], which ends with an empty line.
         *
         * @throws MessageFaultException if a field is malformed or continued on a second line.
         */
        fun parse(text: String): MessageHead {
            val lines = text.removeSuffix(LINE_END + LINE_END).split(LINE_END)
            return MessageHead(lines.first(), lines.drop(1).map(::fieldOf))
        }

        /** Parses the [text] of trailers, which ends with an empty line and has no start line. */
        fun parseTrailers(text: String): List<MessageField> =
            text.removeSuffix(LINE_END).split(LINE_END).filter { it.isNotEmpty() }.map(::fieldOf)

        /** Returns the elements, in lower case, of the comma-separated lists that are the values of [fields]. */
        fun elementsOf(fields: List<MessageField>): Set<String> =
            fields.flatMap { it.value.split(',') }.mapTo(HashSet()) { it.trim(' ', '\t').lowercase() }

        private fun fieldOf(line: String): MessageField {
            val colon = line.indexOf(':')
            val name = line.take(maxOf(colon, 0))
            val value = line.drop(colon + 1).trim(' ', '\t')
            if (!FieldSyntax.isName(name) || !FieldSyntax.isValue(value)) {
                throw MessageFaultException(MessageFault.FIELD)
            }
            return MessageField(name, value)
        }

        const val LINE_END = "\r\n"
    }
}
