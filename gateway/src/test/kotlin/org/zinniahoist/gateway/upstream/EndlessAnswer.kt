package org.zinniahoist.gateway.upstream

/** Invalid endless responses, which an upstream sends until the caller closes the connection. */
internal enum class EndlessAnswer(
    /** True if the headers are valid, so that relaying a stream may start. */
    val beginsStream: Boolean,
    val write: RawAnswer.() -> Unit,
) {
    STATUS_LINE(beginsStream = false, {
        text("HTTP/1.1 200 O")
        writeEndlessly { "K" }
    }),
    HEADER_LINE(beginsStream = false, {
        text("HTTP/1.1 200 OK\r\nx-filler: ")
        writeEndlessly { "a" }
    }),
    HEADERS(beginsStream = false, {
        text("HTTP/1.1 200 OK\r\n")
        writeEndlessly { "x-filler-$it: a\r\n" }
    }),
    INTERIM_HEADS(beginsStream = false, { writeEndlessly { "HTTP/1.1 102 Processing\r\n\r\n" } }),
    NO_HTTP(beginsStream = false, { writeEndlessly { "\u0001" } }),
    BODY_WITHOUT_LENGTH(beginsStream = true, {
        text("${head()}\r\n")
        writeEndlessly { "a" }
    }),
    BODY_OF_HUGE_LENGTH(beginsStream = false, {
        text("${head()}content-length: 1000000000000\r\n\r\n")
        writeEndlessly { "a" }
    }),
    CHUNKS(beginsStream = true, {
        text("${head()}transfer-encoding: chunked\r\n\r\n")
        writeEndlessly { "1000\r\n${"a".repeat(CHUNK_LENGTH)}\r\n" }
    }),
    CHUNK_EXTENSION(beginsStream = true, {
        text("${head()}transfer-encoding: chunked\r\n\r\n1;a=")
        writeEndlessly { "a" }
    }),
    TRAILERS(beginsStream = true, {
        text("${head()}transfer-encoding: chunked\r\n\r\n0\r\n")
        writeEndlessly { "x-filler-$it: a\r\n" }
    }),
    EVENTS(beginsStream = true, {
        text("${head()}\r\n")
        writeEndlessly { "id: $it\ndata: text\n\n" }
    }),
    ;

    companion object {
        private const val CHUNK_LENGTH = 4_096

        /** Returns valid response headers without the empty line that terminates them. */
        fun head(status: String = "200 OK", identifier: String = "r1"): String =
            "HTTP/1.1 $status\r\nx-request: $identifier\r\nx-stamp: s\r\nx-version: 1\r\n" +
                "content-type: text/event-stream\r\n"
    }
}
