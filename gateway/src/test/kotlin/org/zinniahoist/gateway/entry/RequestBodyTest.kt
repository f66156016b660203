package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.logging.RequestLogProperty
import com.linecorp.armeria.server.Server
import io.netty.channel.Channel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.gateway.core.StubDialect
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.link.CoreClient
import org.zinniahoist.gateway.link.CoreObserver
import org.zinniahoist.gateway.metrics.GatewayMetrics
import org.zinniahoist.gateway.upstream.BlockedEventLoop
import org.zinniahoist.gateway.upstream.ListReader
import org.zinniahoist.gateway.upstream.awaitReadingPaused
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.FailureDomain
import org.zinniahoist.model.Incarnation
import org.zinniahoist.model.InstanceName
import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.Region
import org.zinniahoist.model.Revision
import org.zinniahoist.model.Role
import org.zinniahoist.policy.routes.KeyFreshness
import org.zinniahoist.policy.routes.LeastLatencyBalancer
import org.zinniahoist.wire.LinkConnection
import org.zinniahoist.wire.LinkLimits
import org.zinniahoist.wire.LinkMessage
import org.zinniahoist.wire.ServiceMessage
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.Executors
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Tests client requests whose bodies arrive before the entry consumes them. */
internal class RequestBodyTest {
    private val fixture = UpstreamFixture()
    private val gate = CompletableFuture<Unit>()
    private val workers = Executors.newSingleThreadExecutor()
    private val scope = CoroutineScope(SupervisorJob() + Executor(::runBehindGate).asCoroutineDispatcher())
    private val channel = CompletableFuture<Channel>()
    private val metrics = GatewayMetrics()
    private val memory = EntryMemory(heapBytes = 4L * BODY_BYTES)
    private val server = start(entry())

    private fun runBehindGate(task: Runnable) {
        gate.thenRunAsync(task, workers)
    }

    @AfterEach
    fun close() {
        scope.cancel()
        server.closeAsync().join()
        workers.shutdownNow()
        fixture.close()
    }

    /**
     * Guards against a stalled upload: if reading is resumed by a thread other than the one that pauses it, the
     * resumption can precede its pause, and the body is never read to its end.
     */
    @Test
    fun `reading a body is resumed by the thread that pauses it`() {
        Socket("127.0.0.1", server.activeLocalPort()).use { client ->
            thread(isDaemon = true) { client.getOutputStream().write(request()) }
            val connection = channel.join()
            expectThat(connection.awaitReadingPaused()).describedAs("reading is paused").isTrue()

            val blocked = BlockedEventLoop(connection)
            gate.complete(Unit)
            val isResumed = blocked.isReadingResumedElsewhere()
            blocked.release()
            expectThat(isResumed).describedAs("reading is resumed by another thread").isFalse()
            expectThat(client.getInputStream().bufferedReader().readLine()).startsWith("HTTP/1.1 503")
        }
    }

    /** Guards against bodies that are all read to their end and exhaust the heap together. */
    @Test
    fun `a body that finds no room is refused before it is sent`() {
        gate.complete(Unit)
        open(head(BODY_BYTES)).use { first ->
            first.getOutputStream().write(ByteArray(BODY_BYTES / 2))
            open(head(BODY_BYTES + BODY_BYTES / 2)).use { second -> expectThat(statusOf(second)).isEqualTo(503) }
            open(head(1) + "a".encodeToByteArray()).use { small -> expectThat(statusOf(small)).isEqualTo(503) }
            first.getOutputStream().write(ByteArray(BODY_BYTES / 2))
            expectThat(statusOf(first)).isEqualTo(503)
        }
        expectThat(refusals()).containsExactlyInAnyOrder("no_memory", "no_configuration")
    }

    /** Guards against bodies that stop half-way and hold memory for ever. */
    @Test
    fun `a body that is not sent in time is refused`() {
        gate.complete(Unit)
        open(head(BODY_BYTES, "x-remaining: 300")).use { expectThat(statusOf(it)).isEqualTo(408) }
        expectThat(memory.requests.heldBytes).isEqualTo(0)
    }

    private fun refusals(): List<String> =
        Regex("event=\"refusal\",outcome=\"(\\w+)\"").findAll(metrics.text()).map { it.groupValues[1] }.toList()

    private fun open(bytes: ByteArray): Socket =
        Socket("127.0.0.1", server.activeLocalPort()).also { it.getOutputStream().write(bytes) }

    private fun head(bytes: Int, vararg fields: String): ByteArray {
        val more = fields.joinToString("") { "$it\r\n" }
        return "POST /s/ HTTP/1.1\r\nhost: h\r\ncontent-length: $bytes\r\n$more\r\n".encodeToByteArray()
    }

    private fun statusOf(socket: Socket): Int {
        socket.soTimeout = READ_TIMEOUT_MILLISECONDS
        return socket.getInputStream().bufferedReader().readLine().split(' ')[1].toInt()
    }

    private fun request(): ByteArray =
        "POST /s/ HTTP/1.1\r\nhost: h\r\ncontent-length: $BODY_BYTES\r\n\r\n".encodeToByteArray() +
            ByteArray(BODY_BYTES)

    private fun start(entry: EntryHttp): Server {
        val builder = Server.builder().http(0).requestTimeoutMillis(0).maxRequestLength(2L * BODY_BYTES)
        builder.serviceUnder("/") { context, request ->
            context.log().whenAvailable(RequestLogProperty.SESSION).thenAccept { channel.complete(it.channel()) }
            entry.serve(context, request)
        }
        return builder.build().also { it.start().join() }
    }

    /** Creates an entry without a configuration, which refuses a request once it has read its body. */
    private fun entry(): EntryHttp {
        val dialect = Dialect()
        val reader = ListReader(dialect.paths, dialect::listPage, fixture.calls, Endpoint("127.0.0.1", 1))
        val directory = UpstreamDirectory(LeastLatencyBalancer(), reader, fixture.clock)
        val core = CoreClient(emptySet(), hello(), Observer, scope, fixture.clock)
        return EntryHttp(
            dialect,
            core,
            directory,
            fixture.calls,
            scope,
            fixture.clock,
            metrics,
            memory,
            KeyFreshness(5.seconds, isStrict = false),
        )
    }

    private fun hello() = LinkMessage.Hello(
        protocolVersion = LinkLimits.PROTOCOL_VERSION,
        instance = InstanceName("e"),
        incarnation = Incarnation(1),
        failureDomain = FailureDomain("a", Region("r")),
        roles = setOf(Role.ENTRY),
    )

    private class Dialect : PlatformDialect by StubDialect() {
        override fun clientCall(method: String, path: String, query: String?) = null
    }

    private object Observer : CoreObserver {
        override fun onConfiguration(revision: Revision, document: ByteArray) = Unit

        override fun onUpstreams(entries: List<ListedUpstream>?) = Unit

        override fun onCrashes(report: ServiceMessage.Crashes) = Unit

        override fun onConnected(link: LinkConnection) = Unit
    }

    private companion object {
        const val READ_TIMEOUT_MILLISECONDS = 5_000

        /** Many times the amount of data that may be buffered unread. */
        const val BODY_BYTES = 8 shl 20
    }
}
