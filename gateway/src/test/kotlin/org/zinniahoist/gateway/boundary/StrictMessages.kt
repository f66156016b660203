package org.zinniahoist.gateway.boundary

/**
 * A request as it stands on a connection. Names of fields are in lower case, the values of each name are in order, and
 * [body] is a digest.
 */
internal data class WireRequest(
    val method: String,
    val target: String,
    val fields: Map<String, List<String>>,
    val body: String,
) {
    /** This request without the fields that concern one connection, and without [others]. */
    fun withoutConnectionFields(others: Set<String> = emptySet()): WireRequest {
        val nominated = fields["connection"].orEmpty().flatMap { it.split(',') }.map { it.trim().lowercase() }
        return copy(fields = fields - CONNECTION_FIELDS - (nominated - "host").toSet() - others)
    }

    private companion object {
        val CONNECTION_FIELDS = setOf(
            "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "http2-settings",
            "proxy-connection", "proxy-authorization", "content-length", "expect",
        )
    }
}

/**
 * Reads requests from the bytes of one connection by the rules of RFC 9112. Independent of the code of the product, and
 * as strict: it stops at the first request that two readers could take differently.
 */
internal class StrictMessages(private val bytes: String) {
    private var position = 0
    private var isLast = false

    /** Number of bytes of the requests that were read. */
    var consumed = 0
        private set

    /** Returns all requests before the first faulty or incomplete one; one that closes its connection is the last. */
    fun readAll(): List<WireRequest> =
        generateSequence { if (isLast) null else read()?.also { consumed = position } }.toList()

    private fun read(): WireRequest? {
        while (bytes.startsWith("\r\n", position)) position += 2
        val end = bytes.indexOf("\r\n\r\n", position).takeIf { it >= 0 } ?: return null
        val lines = bytes.substring(position, end).split("\r\n")
        position = end + 4
        val line = REQUEST_LINE.matchEntire(lines.first())?.groupValues ?: return null
        val fields = LinkedHashMap<String, List<String>>()
        for (text in lines.drop(1)) {
            val (name, value) = FIELD.matchEntire(text)?.destructured ?: return null
            fields[name.lowercase()] = fields[name.lowercase()].orEmpty() + value.trim(' ', '\t')
        }
        if (!isSound(fields, line[3])) return null
        val body = readBody(fields) ?: return null
        val options = fields["connection"].orEmpty().flatMap { it.split(',') }.map { it.trim().lowercase() }
        isLast = line[3] == "1.0" || "close" in options
        return WireRequest(line[1], line[2], fields, digestOf(body))
    }

    private fun isSound(fields: Map<String, List<String>>, version: String): Boolean {
        val hosts = fields["host"].orEmpty()
        val codings = fields["transfer-encoding"].orEmpty()
        val lengths = fields["content-length"].orEmpty()
        return when {
            hosts.size > 1 || (hosts.isEmpty() && version == "1.1") -> false
            !hosts.all { HOST.matches(it) } -> false
            fields["x-request"].orEmpty().size > 1 -> false
            codings.isNotEmpty() && (lengths.isNotEmpty() || version == "1.0") -> false
            codings.size > 1 || !codings.all { it.lowercase() == "chunked" } -> false
            else -> lengths.size <= 1 && lengths.all { LENGTH.matches(it) }
        }
    }

    private fun readBody(fields: Map<String, List<String>>): String? {
        if ("transfer-encoding" in fields) return readChunks()
        val length = fields["content-length"]?.single()?.toLong() ?: 0
        return if (length > bytes.length - position) null else take(length.toInt())
    }

    private fun readChunks(): String? {
        val body = StringBuilder()
        while (true) {
            val line = takeLine() ?: return null
            val size = CHUNK_LINE.matchEntire(line)?.groupValues?.get(1)?.toLong(16) ?: return null
            if (size == 0L) return if (readTrailers()) body.toString() else null
            if (size + 2 > bytes.length - position) return null
            body.append(take(size.toInt()))
            if (take(2) != "\r\n") return null
        }
    }

    private fun readTrailers(): Boolean {
        while (true) {
            val line = takeLine() ?: return false
            if (line.isEmpty()) return true
            if (!FIELD.matches(line)) return false
        }
    }

    private fun takeLine(): String? {
        val end = bytes.indexOf("\r\n", position).takeIf { it >= 0 } ?: return null
        return take(end - position).also { position += 2 }
    }

    private fun take(length: Int): String = bytes.substring(position, position + length).also { position += length }

    companion object {
        /** Returns a short form of [body] that tells different ones apart. */
        fun digestOf(body: String): String = "${body.length} bytes, hash ${body.hashCode()}"

        private const val TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
        private const val TARGET = "/(?:[!\"$&-~]|%[0-9A-Fa-f]{2})*"
        private val REQUEST_LINE = Regex("(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS|TRACE) ($TARGET) HTTP/(1\\.[01])")
        private val FIELD = Regex("($TOKEN):([\\t\\u0020-\\u007e\\u0080-\\u00ff]*)")
        private val HOST = Regex("[!-~&&[^/?#@,\\\\]]*")
        private val LENGTH = Regex("[0-9]{1,18}")
        private val CHUNK_LINE = Regex("([0-9A-Fa-f]{1,15})[ \\t]*(?:;[^\\r\\n]*)?")
    }
}
