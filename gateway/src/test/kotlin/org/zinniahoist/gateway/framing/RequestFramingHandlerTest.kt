package org.zinniahoist.gateway.framing

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import kotlin.random.Random

/** Tests which bytes of a client connection reach the HTTP library. */
internal class RequestFramingHandlerTest {
    private val faults = ArrayList<MessageFault>()

    /** Guards against requests that two readers take differently, and against bytes behind them that run. */
    @ParameterizedTest
    @MethodSource("faultyRequests")
    fun `a faulty request is refused and what follows is discarded`(row: FaultyRequest) {
        for (pieceBytes in listOf(1, 7, Int.MAX_VALUE)) {
            faults.clear()
            val passed = pass(row.bytes + PROPER, pieceBytes)
            expectThat(faults.toList()).isEqualTo(listOf(row.fault))
            expectThat(passed.substringBefore(" HTTP/1.1")).isEqualTo("GET /~${row.fault.status}")
            expectThat(passed.substringAfter("connection: close\r\n\r\n")).isEmpty()
        }
    }

    /** Guards against a body whose end another reader finds elsewhere. */
    @ParameterizedTest
    @MethodSource("faultyChunks")
    fun `a faulty chunk is replaced by one that the library refuses`(row: FaultyRequest) {
        val passed = pass("$CHUNKED_HEAD${row.bytes}\r\n$PROPER", pieceBytes = 1)
        expectThat(faults.toList()).isEqualTo(listOf(row.fault))
        expectThat(passed.lines().takeLast(2)).isEqualTo(listOf("!", ""))
    }

    /** Guards against refusing or changing what RFC 9112 allows. */
    @Test
    fun `proper requests pass in pieces of any size`() {
        val random = Random(42)
        repeat(200) {
            val requests = List(random.nextInt(1, 6)) { PROPER_REQUESTS.random(random) }
            val passed = pass(requests.joinToString("") { it.first }, random.nextInt(1, 64))
            expectThat(passed).isEqualTo(requests.joinToString("") { it.second })
        }
        expectThat(faults).isEmpty()
    }

    /** Guards against memory that a head without an end takes. */
    @Test
    fun `a head without an end is refused`() {
        val long = "a".repeat(RequestFramingHandler.MAXIMUM_HEAD_BYTES)
        expectThat(pass("GET /$long", pieceBytes = 8_192)).startsWith("GET /~414 ")
        expectThat(pass("GET / HTTP/1.1\r\nhost: h\r\nx: $long", pieceBytes = 8_192)).startsWith("GET /~431 ")
    }

    private fun pass(bytes: String, pieceBytes: Int): String {
        val channel = EmbeddedChannel(RequestFramingHandler("x-request") { faults += it })
        val all = bytes.toByteArray(Charsets.ISO_8859_1)
        for (piece in all.asList().chunked(minOf(pieceBytes, all.size))) {
            channel.writeInbound(Unpooled.wrappedBuffer(piece.toByteArray()))
        }
        val passed = StringBuilder()
        while (true) {
            val buffer = channel.readInbound<ByteBuf>() ?: break
            passed.append(buffer.toString(Charsets.ISO_8859_1))
            buffer.release()
        }
        channel.finishAndReleaseAll()
        return passed.toString()
    }

    internal data class FaultyRequest(
        val fault: MessageFault,
        val bytes: String,
    )

    companion object {
        private const val PROPER = "POST /s/behind HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"
        private const val CHUNKED_HEAD = "POST /s/a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"

        /** Requests with what reaches the library of them; `L3MvYQ` carries the target `/s/a`. */
        private val PROPER_REQUESTS = listOf(
            "GET /s/a HTTP/1.1\r\nHost: h\r\n\r\n" to "GET /L3MvYQ HTTP/1.1\r\nhost: h\r\n\r\n",
            "\r\nGET /s/a HTTP/1.0\r\n\r\n" to "GET /L3MvYQ HTTP/1.0\r\n\r\n",
            "POST /s/a HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\na\r\n\r\n" to
                "POST /L3MvYQ HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\na\r\n\r\n",
            "${CHUNKED_HEAD}2;a=b\r\nxy\r\n00\r\nx-trailer: 1\r\n\r\n" to
                "POST /L3MvYQ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
            "GET /s/a HTTP/1.1\r\nhost:\th \r\nx-a:\r\nx-b:\u00e9;\"\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n\r\n" to
                "GET /L3MvYQ HTTP/1.1\r\nhost: h\r\nx-a: \r\nx-b: \u00e9;\"\r\n\r\n",
        )

        @JvmStatic
        fun faultyRequests(): List<FaultyRequest> = listOf(
            FaultyRequest(MessageFault.LENGTH_AND_CODING, with("content-length: 3", "transfer-encoding: chunked")),
            FaultyRequest(MessageFault.LENGTH_AND_CODING, with("transfer-encoding: chunked", "content-length: 3")),
            FaultyRequest(MessageFault.CODING, with("transfer-encoding: xchunked")),
            FaultyRequest(MessageFault.CODING, with("transfer-encoding: identity, chunked")),
            FaultyRequest(MessageFault.CODING, with("transfer-encoding: chunked", "transfer-encoding: chunked")),
            FaultyRequest(MessageFault.CODING, with("transfer-encoding:")),
            FaultyRequest(MessageFault.CODING, with("transfer-encoding: chunked").replace("HTTP/1.1", "HTTP/1.0")),
            FaultyRequest(MessageFault.LENGTH, with("content-length: 3", "content-length: 3")),
            FaultyRequest(MessageFault.LENGTH, with("content-length: 3, 3")),
            FaultyRequest(MessageFault.LENGTH, with("content-length: +3")),
            FaultyRequest(MessageFault.LENGTH, with("content-length: 0x3")),
            FaultyRequest(MessageFault.LENGTH, with("content-length:")),
            FaultyRequest(MessageFault.LENGTH, with("content-length: ${"9".repeat(19)}")),
            FaultyRequest(MessageFault.HOST, with("host: other")),
            FaultyRequest(MessageFault.HOST, "POST /s/a HTTP/1.1\r\n\r\n"),
            FaultyRequest(MessageFault.HOST, "POST /s/a HTTP/1.1\r\nhost: a b\r\n\r\n"),
            FaultyRequest(MessageFault.REPEATED_IDENTIFIER, with("x-request: a", "X-Request: b")),
            FaultyRequest(MessageFault.FIELD, with("x-a: 1", " folded")),
            FaultyRequest(MessageFault.FIELD, with("x-a : 1")),
            FaultyRequest(MessageFault.FIELD, with("x a: 1")),
            FaultyRequest(MessageFault.FIELD, with(": 1")),
            FaultyRequest(MessageFault.FIELD, with("x-a")),
            FaultyRequest(MessageFault.FIELD, with("x-a: 1\rx-b: 2")),
            FaultyRequest(MessageFault.FIELD, with("x-a: 1\nx-b: 2")),
            FaultyRequest(MessageFault.FIELD, with("x-a: \u000b1")),
            FaultyRequest(MessageFault.FIELD, with("x-a: \u0000")),
            FaultyRequest(MessageFault.TARGET, "GET http://h/s/a HTTP/1.1\r\nhost: h\r\n\r\n"),
            FaultyRequest(MessageFault.TARGET, "GET /s/\ta HTTP/1.1\r\nhost: h\r\n\r\n"),
            FaultyRequest(MessageFault.START_LINE, "GET  /s/a HTTP/1.1\r\nhost: h\r\n\r\n"),
            FaultyRequest(MessageFault.START_LINE, "GET /s/a\r\nhost: h\r\n\r\n"),
            FaultyRequest(MessageFault.START_LINE, "G(T /s/a HTTP/1.1\r\nhost: h\r\n\r\n"),
            FaultyRequest(MessageFault.METHOD, "FOO /s/a HTTP/1.1\r\nhost: h\r\n\r\n"),
            FaultyRequest(MessageFault.METHOD, "CONNECT /s/a HTTP/1.1\r\nhost: h\r\n\r\n"),
            FaultyRequest(MessageFault.VERSION, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
            FaultyRequest(MessageFault.VERSION, "GET /s/a HTTP/1.2\r\nhost: h\r\n\r\n"),
        )

        private fun with(vararg lines: String): String =
            "POST /s/a HTTP/1.1\r\nhost: h\r\n${lines.joinToString("") { "$it\r\n" }}\r\n"

        @JvmStatic
        fun faultyChunks(): List<FaultyRequest> {
            val sizes = listOf("", "x", "0x1", "+1", "-1", " 1", "1 x", "1\n", "1;a\rb", "1".repeat(16))
            val ends = listOf("1\r\nab", "1\r\na\n\n")
            val trailers = listOf("0\r\nx-a", "0\r\nx-a : 1", "0\r\n folded")
            return (sizes + ends).map { FaultyRequest(MessageFault.CHUNK, it) } +
                trailers.map { FaultyRequest(MessageFault.FIELD, it) }
        }
    }
}
