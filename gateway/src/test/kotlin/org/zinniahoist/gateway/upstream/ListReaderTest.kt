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

    /** Guards against a list with an endless sequence of pages that exhausts the heap. */
    @Test
    fun `reading an endless list stops at the size limit`(): Unit = runBlocking {
        val pages = fixture.rawUpstream {
            text("HTTP/1.1 200 OK\r\ncontent-length: $PAGE_LENGTH\r\n\r\n${"a".repeat(PAGE_LENGTH)}")
        }
        val reader = ListReader(Paths, { ListPage(emptyList(), 0, "next") }, fixture.calls, pages.endpoint)
        expectThat(withTimeout(30.seconds) { reader.read() }).isNull()
        expectThat(pages.written).isLessThan(MAXIMUM_BYTES)
    }

    /**
     * Guards against a process that stops refreshing the list after it could not read or apply it once.
     */
    @Test
    fun `a failed refresh does not throw, and duplicate identities are removed`(): Unit = runBlocking {
        val pages = fixture.rawUpstream { text("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}") }
        var decode: () -> ListPage? = { throw StackOverflowError() }
        val reader = ListReader(Paths, { decode() }, fixture.calls, pages.endpoint)
        val read = ArrayList<Int>()
        reader.readAndApply { read += it.size }
        decode = { error("no page") }
        reader.readAndApply { read += it.size }
        decode = { ListPage(fixture.upstreams.listed + fixture.upstreams.listed, unreadable = 0, nextToken = null) }
        reader.readAndApply { error("no use") }
        reader.readAndApply { read += it.size }
        expectThat(read).isEqualTo(arrayListOf(fixture.upstreams.listed.size))
    }

    private object Paths : OutboundPaths {
        override val report = "/report"
        override val order = "/order"

        override fun list(token: String?) = "/list"
    }

    private companion object {
        const val PAGE_LENGTH = 900_000

        /** The 16 MB limit of a list, plus one page. */
        const val MAXIMUM_BYTES = 18L shl 20
    }
}
