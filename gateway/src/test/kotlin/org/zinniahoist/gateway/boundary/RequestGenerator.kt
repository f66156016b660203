package org.zinniahoist.gateway.boundary

import kotlin.random.Random

/** Generates the bytes of requests, most of them proper ones with odd parts. */
internal class RequestGenerator(
    private val random: Random,
    private val host: String,
) {
    private var count = 0

    /** Returns the bytes that a client sends on one connection: pipelined requests, of which some are faulty. */
    fun connection(): String {
        val text = List(random.nextInt(1, 6)) { request() }.joinToString("")
        return if (random.nextInt(MUTATED_SHARE) == 0) mutate(text) else text
    }

    private fun request(): String {
        val body = body()
        val framing = framing(body)
        val lines = listOf("Host: $host", "X-Request: ${random.nextLong().toString(16)}-${count++}") +
            framing.first + List(random.nextInt(4)) { field() } + faults()
        val line = "${METHODS.random(random)} ${target()} HTTP/1.1"
        return "$line\r\n${lines.shuffled(random).joinToString("") { "$it\r\n" }}\r\n${framing.second}"
    }

    private fun target(): String = "/s/" + List(random.nextInt(8)) { TARGET_PARTS.random(random) }.joinToString("")

    private fun field(): String {
        val value = List(random.nextInt(4)) { VALUE_PARTS.random(random) }.joinToString("").trim(' ', '\t')
        return "${NAMES.random(random)}:${listOf(" ", "", "\t", "  ").random(random)}$value"
    }

    private fun body(): String {
        val length = listOf(0, 0, 1, 17, 300, 70_000).random(random)
        return String(random.nextBytes(length), Charsets.ISO_8859_1)
    }

    /** Returns the fields that state the framing of [body], and the body in this framing. */
    private fun framing(body: String): Pair<List<String>, String> {
        if (body.isEmpty() && random.nextBoolean()) return emptyList<String>() to ""
        if (random.nextBoolean()) return listOf("Content-Length: ${body.length}") to body
        val chunks = if (body.isEmpty()) {
            emptyList()
        } else {
            body.chunked(
                random.nextInt(1, body.length + 1).coerceAtLeast(100),
            )
        }
        val text = chunks.joinToString("") { "${it.length.toString(16)}${EXTENSIONS.random(random)}\r\n$it\r\n" }
        val coding = listOf("chunked", "Chunked").random(random)
        return listOf("Transfer-Encoding: $coding") to "${text}0\r\n${TRAILERS.random(random)}\r\n"
    }

    private fun faults(): List<String> =
        if (random.nextInt(FAULTY_SHARE) == 0) listOf(FAULTS.random(random)) else emptyList()

    /** Replaces, removes or repeats a few bytes of [text]. */
    private fun mutate(text: String): String {
        val mutated = StringBuilder(text)
        repeat(random.nextInt(1, 4)) {
            val position = random.nextInt(mutated.length)
            when (random.nextInt(3)) {
                0 -> mutated.setCharAt(position, MUTATIONS.random(random))
                1 -> mutated.deleteCharAt(position)
                else -> mutated.insert(position, MUTATIONS.random(random))
            }
        }
        return mutated.toString()
    }

    private companion object {
        const val MUTATED_SHARE = 4
        const val FAULTY_SHARE = 12
        const val MUTATIONS = "\r\n\u0000 \t:;,/%0aA9+-\u00e9\u007fHchunked"
        val METHODS = listOf("GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS")
        val TARGET_PARTS = listOf(
            "a", "9", "/", "//", "/./", "/../", ";", ";q=3", "?", "&", "=", "+", "%20", "%2F", "%2e", "%C3%A9", "%00",
            "%25", "~", "!", "$", "'", "(", "*", ",", ":", "@", "\"", "<", "[", "\\", "^", "`", "{", "|", "}",
        )
        val NAMES = listOf(
            "X-A", "x-a", "X-Odd_name!", "Cookie", "Carried-Cookie", "Accept", "X-Original-Target", "Via", "X-Empty",
            "X-Http2-Path", "Content-Type", "Date", "Range", "Authorization", "Forwarded", "Accept-Encoding", "Trailer",
            "Keep-Alive", "Origin", "Content-Encoding", "Upgrade", "HTTP2-Settings", "TE", "Status", "Path",
            "Proxy-Connection", "Proxy-Authorization", "Connection",
        )
        val VALUE_PARTS = listOf(
            "x-a", "close", "a", ";", ",", "\"", "\\", "=", " ", "\t", "\u00e9", "{}", "chunked", "%0d%0a",
            "/s/x",
        )
        val EXTENSIONS = listOf("", "", ";a=b", " ;a", ";")
        val TRAILERS = listOf("", "", "X-Trailer: 1\r\n")
        val FAULTS = listOf(
            "Content-Length: 3", "Content-Length: 0", "Transfer-Encoding: chunked", "Transfer-Encoding: xchunked",
            "Transfer-Encoding: identity", "Host: other", "X-Request: other", " folded", "X A: 1", "X-A : 1", ": 1",
            "X-A: a\rb", "X-A: a\nX-B: b", "X-A: \u0000", "Content-Length: +3", "Content-Length: 0x3",
        )
    }
}
