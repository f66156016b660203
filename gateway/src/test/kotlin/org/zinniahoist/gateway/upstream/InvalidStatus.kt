package org.zinniahoist.gateway.upstream

/** Status lines whose status is no number from 100 to 599, or is not written as three digits. */
internal enum class InvalidStatus(val line: String) {
    ZERO("HTTP/1.1 000 Zero"),
    TWO_DIGITS("HTTP/1.1 99 Low"),
    ABOVE("HTTP/1.1 600 High"),
    FAR_ABOVE("HTTP/1.1 999 High"),
    FOUR_DIGITS("HTTP/1.1 1000 High"),
    LEADING_ZERO("HTTP/1.1 0200 OK"),
    LETTERS("HTTP/1.1 abc Letters"),
    MIXED("HTTP/1.1 2x0 Mixed"),
    NEGATIVE("HTTP/1.1 -200 Negative"),
    MISSING("HTTP/1.1 "),
    AFTER_INTERIM("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 High"),

    /** The head is longer than the framing check reads, so that the HTTP library judges it. */
    LONG_HEAD("HTTP/1.1 600 High\r\nx-long: ${"a".repeat(40_000)}"),
    ;

    /** Returns a response with this status that is well-formed otherwise, to the request [identifier]. */
    fun response(identifier: String?, body: String = "ok"): String {
        val echo = identifier?.let { "x-request: $it\r\n" }.orEmpty()
        return "$line\r\n${echo}x-stamp: s\r\ncontent-length: ${body.length}\r\n\r\n$body"
    }
}
