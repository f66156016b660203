package org.zinniahoist.gateway.core

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.entry.UpstreamFixture
import org.zinniahoist.gateway.upstream.RecordingObserver
import org.zinniahoist.gateway.upstream.RecordingUpstream
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.policy.dispatch.DispatchAction
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.HeaderField
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

/** Runs items with odd header fields at an upstream that records its requests. */
internal class ItemHeadersTest {
    private val calls = UpstreamCalls(UpstreamFixture.Names)
    private val upstream = RecordingUpstream()
    private val machine = ServiceStateMachine(SilentListener)

    @AfterEach
    fun close() {
        calls.close()
        upstream.close()
    }

    /** Guards against an item that runs with another method, path or host, or whose connection it controls. */
    @Test
    fun `an item can't change its request line, its host or its connection`() {
        run(
            ":path" to "/other",
            ":method" to "DELETE",
            ":authority" to "other",
            "Host" to "other",
            "Connection" to "close",
            "Upgrade" to "h2c",
            "Expect" to "100-continue",
            "Transfer-Encoding" to "chunked",
            "Content-Length" to "0",
            "TE" to "trailers",
        )
        expectThat(upstream.requestLines.toList()).containsExactly("POST /s/a")
        expectThat(sentFields()).containsExactly("content-length: 2", "host: h")
    }

    /** Guards against an item that passes for another one, or that an upstream resumes without its beginning. */
    @Test
    fun `an item can't set the fields of the process`() {
        run("X-Request" to "other", "X-Last" to "3", "X-Upstream" to "u2")
        expectThat(upstream.headers.filter { it.startsWith("x-") }.sorted())
            .containsExactly("x-request: a", "x-upstream: u1")
    }

    /** Guards against fields that are lost, joined or changed. */
    @Test
    fun `other fields of an item reach the upstream byte for byte`() {
        run("X-Odd_name!" to "a;b,,\"c\\", "X-A" to "1", "x-a" to "2", "X-Empty" to "", "X-Text" to "\u00e9\u20ac")
        val bytes = "\u00e9\u20ac".toByteArray().toString(Charsets.ISO_8859_1)
        expectThat(sentFields().filter { it.startsWith("x-") })
            .containsExactly("x-a: 1", "x-a: 2", "x-empty: ", "x-odd_name!: a;b,,\"c\\", "x-text: $bytes")
    }

    /** Guards against an upstream that accounts an item to a workspace which has not submitted it. */
    @Test
    fun `an item runs with the workspace of its job`() {
        run("X-Workspace" to "south", workspace = WorkspaceName("north"))
        expectThat(upstream.headers.filter { it.startsWith("x-workspace") }).containsExactly("x-workspace: north")
    }

    /** Returns the recorded fields but those of the process and of the HTTP library. */
    private fun sentFields(): List<String> =
        upstream.headers.map { it.replaceBefore(':', it.substringBefore(':').lowercase()) }
            .filterNot { it.startsWith("x-request") || it.startsWith("x-upstream") || it.startsWith("user-agent") }
            .sorted()

    private fun run(vararg fields: Pair<String, String>, workspace: WorkspaceName? = null): Unit = runBlocking {
        val headers = fields.map { (name, value) -> HeaderField(name, value) }
        val item = BatchItem(RequestIdentifier("a"), "/s/a", headers, byteArrayOf(1, 2), tokens = 8)
        val job = BatchJob(JobIdentifier("j"), "h", "/s/", listOf(item), workspace = workspace)
        machine.apply(1, 0, StateCodec.encode<ServiceCommand>(ServiceCommand.SubmitJob(job)))
        val observer = RecordingObserver()
        val listed = ListedUpstream(UpstreamIdentity("u1"), ServiceName("s"), upstream.endpoint, "a", 4, false)
        val runs = ItemRuns(UpstreamFixture.Names, calls, machine)
        runs.start(DispatchAction.Start(1, ItemKey("j", item.identifier), listed, afterEvent = null), observer)
        withTimeout(10.seconds) { observer.ended.await() }
        expectThat(upstream.requestLines.size).isEqualTo(1)
    }
}
