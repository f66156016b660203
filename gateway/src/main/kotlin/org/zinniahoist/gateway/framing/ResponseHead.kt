package org.zinniahoist.gateway.framing

/** Head of an upstream's response, checked by the rules of RFC 9112. */
internal class ResponseHead private constructor(
    /** True if another head follows for the same request. */
    val isInterim: Boolean,
    val framing: BodyFraming,
) {
    companion object {
        private val STATUS_LINE = Regex("HTTP/1\\.[01] ([1-5][0-9]{2})(?: [^\u0000-\u0008\u000a-\u001f\u007f]*)?")
        private const val INTERIM_CLASS = '1'
        private val STATUSES_WITHOUT_BODY = setOf("204", "304")

        /**
         * Parses the [text] of the head of a response to a request with [method].
         *
         * @throws MessageFaultException if the response can't be trusted.
         */
        fun parse(text: String, method: String): ResponseHead {
            val head = MessageHead.parse(text)
            val status = STATUS_LINE.matchEntire(head.startLine)?.groupValues?.get(1)
                ?: throw MessageFaultException(MessageFault.START_LINE)
            val stated = BodyFraming.of(head)
            val isInterim = status.first() == INTERIM_CLASS
            val hasBody = !isInterim && status !in STATUSES_WITHOUT_BODY && method != "HEAD"
            val framing = if (stated == BodyFraming.Unstated) BodyFraming.UntilClose else stated
            return ResponseHead(isInterim, if (hasBody) framing else BodyFraming.Unstated)
        }
    }
}
