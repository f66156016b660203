package org.zinniahoist.gateway.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.dialect.ListPage
import org.zinniahoist.gateway.dialect.OutboundPaths
import org.zinniahoist.gateway.upstream.ListReader
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.routes.LeastLatencyBalancer
import org.zinniahoist.policy.routes.LoadBalancer
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

/** Tests which list an entry uses that receives lists of the leader and also reads the list itself. */
internal class UpstreamDirectoryTest {
    private val fixture = UpstreamFixture()
    private val pages = fixture.rawUpstream { text("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}") }
    private val upstream =
        ListedUpstream(UpstreamIdentity("u"), ServiceName("s"), pages.endpoint, "a", slots = 1, isLeaving = false)

    /** Returns the list that the entry reads itself. Called during the read. */
    private var ownRead: () -> List<ListedUpstream> = { listOf(upstream) }
    private var used: List<ListedUpstream> = emptyList()
    private val balancer = object : LoadBalancer by LeastLatencyBalancer() {
        override fun relist(entries: List<ListedUpstream>) {
            used = entries
        }
    }
    private val reader = ListReader(Paths, { ListPage(ownRead(), 0, null) }, fixture.calls, pages.endpoint)
    private val directory = UpstreamDirectory(balancer, reader, fixture.clock)

    @AfterEach
    fun close() = fixture.close()

    private fun passStaleTime() {
        fixture.clockOffset += 2.seconds
    }

    /** Guards against requests to an upstream that leaves, by an entry whose own read was overtaken by the leader. */
    @Test
    fun `a list that the leader sent during an own read is kept`(): Unit = runBlocking {
        val newer = listOf(upstream.copy(isLeaving = true))
        directory.refresh(listOf(upstream))
        passStaleTime()
        ownRead = {
            directory.refresh(newer)
            listOf(upstream)
        }
        directory.refreshIfStale()
        expectThat(used).isEqualTo(newer)
    }

    /** Guards against an own read that is taken for the list that the leader reports as unchanged, until it changes. */
    @Test
    fun `an unchanged list is the one that the leader sent, not an own read`(): Unit = runBlocking {
        val sent = listOf(upstream.copy(isLeaving = true))
        directory.refresh(sent)
        passStaleTime()
        directory.refreshIfStale()
        expectThat(used).isEqualTo(listOf(upstream))
        directory.refresh(null)
        expectThat(used).isEqualTo(sent)
    }

    private object Paths : OutboundPaths {
        override val report = "/report"
        override val order = "/order"

        override fun list(token: String?) = "/list"
    }
}
