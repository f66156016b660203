package org.zinniahoist.gateway.upstream

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.dialect.ListPage
import org.zinniahoist.gateway.dialect.OutboundPaths
import org.zinniahoist.gateway.entry.UpstreamFixture
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

internal class ListReaderTest {
    private val fixture = UpstreamFixture()

    @AfterEach
    fun close() = fixture.close()

    /** Guards against a process whose memory fills with a list that always has another page. */
    @Test
    fun `a list of long pages without end is not read to its memory's end`(): Unit = runBlocking {
        val pages = fixture.rawUpstream {
            text("HTTP/1.1 200 OK\r\ncontent-length: $PAGE_LENGTH\r\n\r\n${"a".repeat(PAGE_LENGTH)}")
        }
        val reader = ListReader(Paths, { ListPage(emptyList(), 0, "next") }, fixture.calls, pages.endpoint)
        expectThat(withTimeout(30.seconds) { reader.read() }).isNull()
        expectThat(pages.written).isLessThan(MOST_BYTES)
    }

    /**
     * Guards against a process that no longer follows the list, because one reading of
     * it could not be read or used.
     */
    @Test
    fun `a reading that fails ends nothing, and an identity counts once`(): Unit = runBlocking {
        val pages = fixture.rawUpstream { text("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}") }
        var decode: () -> ListPage? = { throw StackOverflowError() }
        val reader = ListReader(Paths, { decode() }, fixture.calls, pages.endpoint)
        val read = ArrayList<Int>()
        reader.readGuarded { read += it.size }
        decode = { error("no page") }
        reader.readGuarded { read += it.size }
        decode = { ListPage(fixture.upstreams.listed + fixture.upstreams.listed, unreadable = 0, nextToken = null) }
        reader.readGuarded { error("no use") }
        reader.readGuarded { read += it.size }
        expectThat(read).isEqualTo(arrayListOf(fixture.upstreams.listed.size))
    }

    private object Paths : OutboundPaths {
        override val report = "/report"
        override val order = "/order"

        override fun list(token: String?) = "/list"
    }

    private companion object {
        const val PAGE_LENGTH = 900_000

        /** Sixteen megabytes of a list, and a page more. */
        const val MOST_BYTES = 18L shl 20
    }
}
