package org.zinniahoist.gateway.upstream

/** Ways in which an upstream sends bytes that are no answer until the caller closes. */
internal enum class EndlessAnswer(
    /** True if the head is that of a sound answer, so that a stream may begin. */
    val beginsStream: Boolean,
    val write: RawAnswer.() -> Unit,
) {
    STATUS_LINE(beginsStream = false, {
        text("HTTP/1.1 200 O")
        withoutEnd { "K" }
    }),
    HEADER_LINE(beginsStream = false, {
        text("HTTP/1.1 200 OK\r\nx-filler: ")
        withoutEnd { "a" }
    }),
    HEADERS(beginsStream = false, {
        text("HTTP/1.1 200 OK\r\n")
        withoutEnd { "x-filler-$it: a\r\n" }
    }),
    INTERIM_HEADS(beginsStream = false, { withoutEnd { "HTTP/1.1 102 Processing\r\n\r\n" } }),
    NO_HTTP(beginsStream = false, { withoutEnd { "\u0001" } }),
    BODY_WITHOUT_LENGTH(beginsStream = true, {
        text("${head()}\r\n")
        withoutEnd { "a" }
    }),
    BODY_OF_HUGE_LENGTH(beginsStream = false, {
        text("${head()}content-length: 1000000000000\r\n\r\n")
        withoutEnd { "a" }
    }),
    CHUNKS(beginsStream = true, {
        text("${head()}transfer-encoding: chunked\r\n\r\n")
        withoutEnd { "1000\r\n${"a".repeat(CHUNK_LENGTH)}\r\n" }
    }),
    CHUNK_EXTENSION(beginsStream = true, {
        text("${head()}transfer-encoding: chunked\r\n\r\n1;a=")
        withoutEnd { "a" }
    }),
    TRAILERS(beginsStream = true, {
        text("${head()}transfer-encoding: chunked\r\n\r\n0\r\n")
        withoutEnd { "x-filler-$it: a\r\n" }
    }),
    EVENTS(beginsStream = true, {
        text("${head()}\r\n")
        withoutEnd { "id: $it\ndata: text\n\n" }
    }),
    ;

    companion object {
        private const val CHUNK_LENGTH = 4_096

        /** Start of a head that is right in all but its end. */
        fun head(status: String = "200 OK", identifier: String = "r1"): String =
            "HTTP/1.1 $status\r\nx-request: $identifier\r\nx-stamp: s\r\nx-version: 1\r\n" +
                "content-type: text/event-stream\r\n"
    }
}
