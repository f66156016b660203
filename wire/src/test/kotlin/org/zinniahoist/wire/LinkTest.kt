package org.zinniahoist.wire

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Moment
import org.zinniahoist.model.Revision
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.filterIsInstance
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LinkTest {
    private val cleanup = ArrayDeque<AutoCloseable>()
    private val clock = ManualClock()
    private val serverHandler = RecordingHandler()

    @AfterEach
    fun close() = cleanup.reversed().forEach { it.close() }

    private suspend fun serve(
        handler: LinkHandler = serverHandler,
        limits: LinkLimits = LinkLimits(),
        time: () -> Moment = clock::now,
        port: Int = 0,
    ): Pair<LinkServer, Endpoint> {
        val content = { HeartbeatContent(draining = true, settingsRevision = Revision(4)) }
        val server = LinkServer(Endpoint("127.0.0.1", port), hello("server"), handler, content, time, limits)
        cleanup += server
        return server to server.start()
    }

    private fun connect(endpoint: Endpoint, handler: LinkHandler, limits: LinkLimits = LinkLimits()) =
        LinkClient(endpoint, hello("client"), handler, { HeartbeatContent() }, clock::now, Random(1), limits)
            .also { cleanup += it }
            .apply { start() }

    private fun peer(endpoint: Endpoint) = RawPeer(endpoint).also { cleanup += it }

    @Nested
    inner class Open {
        @Test
        fun `messages, heartbeats and the goodbye arrive`(): Unit = runBlocking {
            val (server, endpoint) = serve()
            val handler = RecordingHandler()
            connect(endpoint, handler)
            val link = handler.opened.receive()
            expectThat(link.peer).isEqualTo(hello("server"))
            val beat = handler.messages.receive()
            expectThat(beat).isA<LinkMessage.Heartbeat>().get { draining to settingsRevision.value }
                .isEqualTo(true to 4L)
            expectThat(link.lastHeartbeatReceived).isEqualTo(0)
            link.send(ControlMessage.Subscribe(Revision(8)))
            expectThat(serverHandler.next()).isEqualTo(ControlMessage.Subscribe(Revision(8)))
            expectThat(link.heartbeatSentAt(0)).isEqualTo(Moment.ZERO)
            expectThat(link.heartbeatSentAt(99)).isNull()
            server.stop("planned")
            expectThat(handler.closed.receive()).isEqualTo(LinkCloseCause.Goodbye("planned"))
            expectThat(serverHandler.closed.receive()).isEqualTo(LinkCloseCause.Local)
            expectThat(link.send(LinkMessage.Goodbye("late"))).isFalse()
        }

        /** Guards against a planned stop that is reported as a lost connection, since the peer closes it first. */
        @Test
        fun `a link that this side closes ends as closed here`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val causes = List(CLOSED_LINKS) {
                RawPeer(endpoint).use { peer ->
                    peer.greet()
                    serverHandler.opened.receive().close("planned")
                    while (peer.read() !is LinkMessage.Goodbye) yield()
                }
                serverHandler.closed.receive()
            }
            expectThat(causes.filter { it != LinkCloseCause.Local }).isEmpty()
        }

        /** Guards against a stopped process that is taken for a silent one. */
        @Test
        fun `a client reports that nobody listens`(): Unit = runBlocking {
            val (server, endpoint) = serve()
            server.stop("planned")
            val handler = RecordingHandler()
            connect(endpoint, handler)
            handler.refused.receive()
            expectThat(handler.opened.tryReceive().isSuccess).isFalse()
        }

        @Test
        fun `a client connects again after the server restarts`(): Unit = runBlocking {
            val (server, endpoint) = serve()
            val handler = RecordingHandler()
            connect(endpoint, handler)
            handler.opened.receive()
            server.stop("restart")
            handler.closed.receive()
            serve(port = endpoint.port)
            expectThat(handler.opened.receive().peer.instance.value).isEqualTo("server")
        }

        @Test
        fun `another protocol version is refused with the reason`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val peer = peer(endpoint).apply { greet(version = 2) }
            expectThat(peer.readToEnd()).contains(LinkMessage.Goodbye("protocol version 2 is not 1"))
            expectThat(serverHandler.opened.tryReceive().getOrNull()).isNull()
        }

        @Test
        fun `a peer that sends garbage instead of a hello is refused`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val peer = peer(endpoint).apply { raw("GET / HTTP/1.1\r\n\r\n".toByteArray()) }
            expectThat(peer.readToEnd()).filterIsInstance<LinkMessage.Heartbeat>().isEmpty()
            expectThat(serverHandler.opened.tryReceive().getOrNull()).isNull()
        }
    }

    @Nested
    inner class Damage {
        private suspend fun causeOf(damage: RawPeer.() -> Unit): LinkCloseCause {
            val (_, endpoint) = serve()
            val other = RecordingHandler()
            connect(endpoint, other)
            val bystander = other.opened.receive()
            serverHandler.opened.receive()
            val peer = peer(endpoint).apply { greet() }
            serverHandler.opened.receive()
            peer.damage()
            val cause = serverHandler.closed.receive()
            expectThat(bystander.send(ControlMessage.Subscribe(Revision(1)))).isTrue()
            expectThat(serverHandler.next()).isEqualTo(ControlMessage.Subscribe(Revision(1)))
            return cause
        }

        @Test
        fun `a damaged frame closes its link only`(): Unit = runBlocking {
            expectThat(causeOf { frame(byteArrayOf(1, 2, 3)) }).isA<LinkCloseCause.ProtocolError>()
        }

        @Test
        fun `a message of an unknown kind closes its link only`(): Unit = runBlocking {
            val bytes = FrameCodec.encode(LinkMessage.Goodbye("x"))
            val unknown = String(bytes, Charsets.ISO_8859_1).replace("goodbye", "goodday")
            val cause = causeOf { frame(unknown.toByteArray(Charsets.ISO_8859_1)) }
            expectThat(cause).isA<LinkCloseCause.ProtocolError>()
        }

        @Test
        fun `an oversized length closes the link before the frame is read`(): Unit = runBlocking {
            expectThat(causeOf { prefix(LinkLimits.MAXIMUM_FRAME_BYTES + 1) })
                .isEqualTo(LinkCloseCause.ProtocolError("frame of 4194305 bytes"))
        }

        @Test
        fun `a negative length closes the link`(): Unit = runBlocking {
            expectThat(causeOf { prefix(-1) }).isEqualTo(LinkCloseCause.ProtocolError("frame of -1 bytes"))
        }

        @Test
        fun `a truncated frame is a lost connection`(): Unit = runBlocking {
            val cause = causeOf {
                prefix(100)
                raw(ByteArray(10))
                close()
            }
            expectThat(cause).isA<LinkCloseCause.ConnectionLost>()
        }
    }

    @Nested
    inner class Silence {
        @Test
        fun `a peer without a frame is silent after the limit and not before`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val peer = peer(endpoint).apply { greet() }
            serverHandler.opened.receive()
            peer.readHeartbeat()
            // Each heartbeat shows that the link was checked after the clock was advanced.
            advance(peer, 1_250.milliseconds)
            advance(peer, 1_249.milliseconds)
            expectThat(serverHandler.closed.tryReceive().getOrNull()).isNull()
            clock.advance(1.milliseconds)
            expectThat(serverHandler.closed.receive()).isEqualTo(LinkCloseCause.Silent)
        }

        @Test
        fun `a peer is not silent while its message is handled`(): Unit = runBlocking {
            val begun = CompletableDeferred<Unit>()
            val gate = CompletableDeferred<Unit>()
            val handler = RecordingHandler {
                begun.complete(Unit)
                gate.await()
            }
            val (_, endpoint) = serve(handler)
            val peer = peer(endpoint).apply { greet() }
            handler.opened.receive()
            repeat(2) { peer.send(ControlMessage.Subscribe(Revision(it.toLong()))) }
            begun.await()
            peer.readHeartbeat()
            advance(peer, 1.hours)
            repeat(3) { advance(peer, 1_250.milliseconds) }
            gate.complete(Unit)
            expectThat(handler.next()).isEqualTo(ControlMessage.Subscribe(Revision(0)))
            expectThat(handler.next()).isEqualTo(ControlMessage.Subscribe(Revision(1)))
        }

        /** Guards against links that a process breaks after a pause, before it reads what its peers have sent. */
        @Test
        fun `a peer is not silent because this process was held up`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val peer = peer(endpoint).apply { greet() }
            serverHandler.opened.receive()
            peer.readHeartbeat()
            advance(peer, 1.hours)
            peer.send(ControlMessage.Subscribe(Revision(8)))
            val received = withTimeoutOrNull(WAIT) { serverHandler.next() }
            expectThat(received).isEqualTo(ControlMessage.Subscribe(Revision(8)))
            advance(peer, 1_250.milliseconds)
        }

        /** Guards against links that are closed while a frame arrives that takes longer than the limit. */
        @Test
        fun `a peer is not silent while a long frame arrives`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val peer = peer(endpoint).apply { greet() }
            serverHandler.opened.receive()
            peer.readHeartbeat()
            val chunks = FrameCodec.encode(ControlMessage.ReplicaTraffic("g", ByteArray(80_000))).toList()
                .chunked(RawPeer.CONFIRMED_BYTES) { it.toByteArray() }
            chunks.dropLast(1).forEach {
                peer.chunk(it)
                peer.readConfirmation()
                advance(peer, 1_250.milliseconds)
            }
            peer.frame(chunks.last())
            expectThat(withTimeoutOrNull(WAIT) { serverHandler.next() }).isA<ControlMessage.ReplicaTraffic>()
        }

        private fun advance(peer: RawPeer, duration: Duration) {
            clock.advance(duration)
            peer.readHeartbeat()
        }
    }

    @Nested
    inner class BackPressure {
        @Test
        fun `the queue of a peer that does not read fills and then nothing is lost`(): Unit = runBlocking {
            val gate = CompletableDeferred<Unit>()
            val handler = RecordingHandler { gate.await() }
            val (_, endpoint) = serve(handler)
            val client = RecordingHandler()
            connect(endpoint, client, LinkLimits(sendQueueFrames = 4))
            val link = client.opened.receive()
            val frame = { number: Int -> ControlMessage.ReplicaTraffic("$number", ByteArray(1_000_000)) }
            var accepted = 0
            var refusals = 0
            while (refusals < 1_000) {
                if (link.offer(frame(accepted))) accepted += 1 else refusals += 1
                yield()
            }
            expectThat(accepted < 100).isTrue()
            gate.complete(Unit)
            repeat(accepted) {
                expectThat(handler.next()).isA<ControlMessage.ReplicaTraffic>().get { group }.isEqualTo("$it")
            }
        }
    }

    private companion object {
        const val CLOSED_LINKS = 2_000
        val WAIT = 10.seconds
    }
}
