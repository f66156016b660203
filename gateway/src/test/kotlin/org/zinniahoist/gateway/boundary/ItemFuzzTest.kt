package org.zinniahoist.gateway.boundary

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.core.ItemRuns
import org.zinniahoist.gateway.core.SilentListener
import org.zinniahoist.gateway.entry.UpstreamFixture
import org.zinniahoist.gateway.upstream.RecordingObserver
import org.zinniahoist.gateway.upstream.UpstreamCalls
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import org.zinniahoist.policy.dispatch.DispatchAction
import org.zinniahoist.policy.dispatch.ItemKey
import org.zinniahoist.state.StateCodec
import org.zinniahoist.state.service.BatchItem
import org.zinniahoist.state.service.BatchJob
import org.zinniahoist.state.service.HeaderField
import org.zinniahoist.state.service.JobIdentifier
import org.zinniahoist.state.service.JobRules
import org.zinniahoist.state.service.ServiceCommand
import org.zinniahoist.state.service.ServiceStateMachine
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Runs generated items at an upstream that reads requests strictly. */
internal class ItemFuzzTest {
    private val calls = UpstreamCalls(UpstreamFixture.Names)
    private val upstream = StrictUpstream()
    private val machine = ServiceStateMachine(SilentListener)
    private val runs = ItemRuns(UpstreamFixture.Names, calls, machine)

    @AfterEach
    fun close() {
        calls.close()
        upstream.close()
    }

    /** Guards against an accepted item that runs changed or never. */
    @Test
    fun `an item that is accepted runs as it was submitted`() {
        val random = Random(SEED)
        var accepted = 0
        repeat(ITEMS) { number ->
            val item = item(number, random)
            val job = BatchJob(JobIdentifier("j$number"), "h", "/s/", listOf(item))
            if (JobRules.faultOf(job) != null) return@repeat
            accepted++
            run(number.toLong(), job)
            val received = upstream.received.toList().also { upstream.received.clear() }
            expectThat(received.map { it.withoutConnectionFields(OWN_FIELDS) }).isEqualTo(listOf(expected(item)))
        }
        expectThat(accepted).isGreaterThan(ITEMS / 4)
        expectThat(upstream.malformed).isEmpty()
    }

    private fun item(number: Int, random: Random): BatchItem {
        val path = "/s/" + List(random.nextInt(5)) { PATH_PARTS.random(random) }.joinToString("")
        val headers = List(random.nextInt(4)) {
            HeaderField(NAMES.random(random), List(random.nextInt(3)) { VALUES.random(random) }.joinToString(""))
        }
        return BatchItem(
            RequestIdentifier("i$number"),
            path,
            headers,
            random.nextBytes(random.nextInt(200)),
            tokens = 1,
        )
    }

    private fun expected(item: BatchItem): WireRequest {
        val fields = LinkedHashMap<String, List<String>>()
        for (field in item.headers) {
            val value = String(field.value.toByteArray(), Charsets.ISO_8859_1).trim(' ', '\t')
            fields[field.name.lowercase()] = fields[field.name.lowercase()].orEmpty() + value
        }
        val body = String(item.body, Charsets.ISO_8859_1)
        val sent = fields - "host" - "connection" - OWN_FIELDS + ("host" to listOf("h")) +
            ("x-request" to listOf(item.identifier.value))
        return WireRequest("POST", item.path, sent, StrictMessages.digestOf(body)).withoutConnectionFields()
    }

    private fun run(number: Long, job: BatchJob): Unit = runBlocking {
        machine.apply(number + 1, 0, StateCodec.encode<ServiceCommand>(ServiceCommand.SubmitJob(job)))
        val observer = RecordingObserver()
        val listed = ListedUpstream(UpstreamIdentity("u1"), ServiceName("s"), upstream.endpoint, "a", 4, false)
        val key = ItemKey(job.identifier.value, job.items.single().identifier)
        runs.start(DispatchAction.Start(number, key, listed, afterEvent = null), observer)
        withTimeout(10.seconds) { observer.ended.await() }
    }

    private companion object {
        const val SEED = 43
        const val ITEMS = 400

        /** Fields that the process sets, or the HTTP library. */
        val OWN_FIELDS = setOf("x-upstream", "x-last", "user-agent")
        val PATH_PARTS =
            listOf("a", "/", "//", "/../", ";", "?", "+", "%20", "%2F", "%C3%A9", "|", "\"", "%", " ", "\u00e9")
        val NAMES = listOf(
            "X-A", "x-a", "Cookie", "Carried-Cookie", "Host", "Connection", "Expect", "Content-Length", "X-Request",
            "X-Upstream", "X-Last", "Transfer-Encoding", "X-Http2-Path", "Content-Type", ":path", "x a", "",
        )
        val VALUES =
            listOf("a", ";", ", ", "\"", "=", "\u00e9", "\u20ac", "chunked", "100-continue", "%0d", "\n", "\u0001")
    }
}
