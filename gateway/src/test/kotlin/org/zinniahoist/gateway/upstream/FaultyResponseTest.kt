package org.zinniahoist.gateway.upstream

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.zinniahoist.gateway.entry.UpstreamFixture
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Tests responses that two readers take differently. */
internal class FaultyResponseTest {
    private val fixture = UpstreamFixture()

    @AfterEach
    fun close() = fixture.close()

    private fun answerTo(bytes: String): String? = runBlocking {
        val upstream = fixture.rawUpstream { text(bytes) }
        fixture.calls.get(upstream.endpoint, "/report", TIMEOUT)?.body?.decodeToString()
    }

    /** Guards against a body that ends elsewhere for another reader, and is returned as the whole response. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            "content-length: 5\r\ncontent-length: 5\r\n\r\nwhole",
            "content-length: 5\r\ncontent-length: 6\r\n\r\nwhole!",
            "content-length: +5\r\n\r\nwhole",
            "transfer-encoding: xchunked\r\ncontent-length: 5\r\n\r\nwhole",
            "transfer-encoding: xchunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            "content-length : 5\r\n\r\nwhole",
            "content-length: 5\r\nx-a: 1\r\n folded\r\n\r\nwhole",
            "content-length: 5\nx-a: 1\r\n\r\nwhole",
            "transfer-encoding: chunked\r\n\r\n5\r\nwholeXX\r\n0\r\n\r\n",
            "transfer-encoding: chunked\r\n\r\n0x5\r\nwhole\r\n0\r\n\r\n",
            "transfer-encoding: chunked\r\n\r\n5\nwhole\r\n0\r\n\r\n",
        ],
    )
    fun `a faulty response is no answer`(rest: String) {
        expectThat(answerTo("HTTP/1.1 200 OK\r\n$rest")).isNull()
    }

    /** Guards against refusing what RFC 9112 allows. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "content-length: 5\r\n\r\nwhole",
            "Content-Length:5 \r\nx-odd_name!: \t;\r\n\r\nwhole",
            "transfer-encoding: Chunked\r\n\r\n3;a=b\r\nwho\r\n2\r\nle\r\n0\r\nx-trailer: 1\r\n\r\n",
        ],
    )
    fun `a proper response is read`(rest: String) {
        expectThat(answerTo("HTTP/1.1 200\r\n$rest")).isEqualTo("whole")
        expectThat(answerTo("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n$rest")).isEqualTo("whole")
    }

    /** Guards against a caller that gets the second copy of the answer to an earlier call of the connection. */
    @Test
    fun `bytes after an answer end the connection`() {
        val served = AtomicInteger()
        val upstream = fixture.rawUpstream {
            val answer = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n${served.incrementAndGet()}"
            text(answer + answer)
        }
        val bodies = runBlocking {
            List(CALLS) { fixture.calls.get(upstream.endpoint, "/report", TIMEOUT)?.body?.decodeToString() }
        }
        expectThat(bodies).containsExactly(List(CALLS) { "${it + 1}" })
        expectThat(upstream.connections).isEqualTo(CALLS)
    }

    private companion object {
        val TIMEOUT = 3.seconds
        const val CALLS = 3
    }
}
