package org.zinniahoist.gateway.framing

import org.zinniahoist.model.FieldSyntax
import org.zinniahoist.model.RequestTarget

/** Head of a client's request, checked by the rules of RFC 9112. Holds nothing that two readers take differently. */
internal class RequestHead private constructor(
    private val method: String,
    private val target: String,
    private val version: String,
    private val fields: List<MessageField>,
    val framing: BodyFraming,
) {
    /**
     * Returns the head for the HTTP library: its target is a [CarriedTarget], its fields have [CarriedFields] names,
     * and of the fields that concern the connection only the wish to close it or to keep it is left.
     */
    fun forLibrary(): String {
        val options = MessageHead.elementsOf(fields.filter { it.isNamed(CONNECTION) })
        val text = StringBuilder("$method ${CarriedTarget.pathOf(target)} $version\r\n")
        for (field in fields) {
            if (mayPass(field, options)) text.append(lineOf(field))
        }
        for (option in PASSED_OPTIONS) {
            if (option in options) text.append("$CONNECTION: $option\r\n")
        }
        return text.append("\r\n").toString()
    }

    private fun mayPass(field: MessageField, connectionOptions: Set<String>): Boolean {
        val name = field.name.lowercase()
        return name !in CONNECTION_FIELDS && (name !in connectionOptions || name in FRAMING_FIELDS)
    }

    private fun lineOf(field: MessageField): String = "${CarriedFields.carriedName(field.name)}: ${field.value}\r\n"

    companion object {
        private const val VERSION_PREFIX = "HTTP/"
        private const val HTTP_1_0 = "HTTP/1.0"
        private const val HTTP_1_1 = "HTTP/1.1"
        private const val REQUEST_LINE_PARTS = 3

        /** Methods that the library can pass on, but for CONNECT, whose target is no path. */
        private val METHODS = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE")
        private const val CONNECTION = "connection"
        private val PASSED_OPTIONS = listOf("close", "keep-alive")
        private val CONNECTION_FIELDS =
            setOf(CONNECTION, "keep-alive", "proxy-connection", "te", "trailer", "upgrade", "http2-settings")

        /** Fields that stay although a client names them as options of its connection. */
        private val FRAMING_FIELDS = setOf("host", "content-length", "transfer-encoding")
        private val HOST_EXCLUDED = setOf('/', '?', '#', '@', ',', '\\')

        /**
         * Parses the [text] of a head, in which a field named [identifierName] may stand once.
         *
         * @throws MessageFaultException if the request must be refused.
         */
        fun parse(text: String, identifierName: String): RequestHead {
            val head = MessageHead.parse(text)
            val parts = head.startLine.split(' ')
            if (parts.size != REQUEST_LINE_PARTS) throw MessageFaultException(MessageFault.START_LINE)
            val (method, target, version) = parts
            checkLine(method, target, version)
            checkHost(head.valuesOf("host"), version)
            if (head.valuesOf(identifierName).size > 1) throw MessageFaultException(MessageFault.REPEATED_IDENTIFIER)
            val framing = BodyFraming.of(head)
            // RFC 9112, section 6.1: the framing of a message of HTTP/1.0 with a coding is faulty.
            if (version == HTTP_1_0 && framing == BodyFraming.Chunked) throw MessageFaultException(MessageFault.CODING)
            return RequestHead(method, target, version, head.fields, framing)
        }

        private fun checkLine(method: String, target: String, version: String) {
            val fault = when {
                !FieldSyntax.isName(method) || !version.startsWith(VERSION_PREFIX) -> MessageFault.START_LINE
                version != HTTP_1_0 && version != HTTP_1_1 -> MessageFault.VERSION
                method !in METHODS -> MessageFault.METHOD
                !RequestTarget.isValid(target) -> MessageFault.TARGET
                else -> null
            }
            if (fault != null) throw MessageFaultException(fault)
        }

        private fun checkHost(hosts: List<String>, version: String) {
            val isCountRight = hosts.size == 1 || (hosts.isEmpty() && version == HTTP_1_0)
            if (!isCountRight || !hosts.all(::isHost)) throw MessageFaultException(MessageFault.HOST)
        }

        private fun isHost(value: String): Boolean = value.all { it in '!'..'~' && it !in HOST_EXCLUDED }
    }
}
