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
        fun `messages, heartbeats and the Goodbye are delivered`(): Unit = runBlocking {
            val (server, endpoint) = serve()
            val handler = RecordingHandler()
            connect(endpoint, handler)
            val link = handler.opened.receive()
            expectThat(link.peer).isEqualTo(hello("server"))
            val heartbeat = handler.messages.receive()
            expectThat(heartbeat).isA<LinkMessage.Heartbeat>().get { draining to settingsRevision.value }
                .isEqualTo(true to 4L)
            expectThat(link.lastHeartbeatReceived).isEqualTo(0)
            link.send(ControlMessage.Subscribe(Revision(8)))
            expectThat(serverHandler.nextMessage()).isEqualTo(ControlMessage.Subscribe(Revision(8)))
            expectThat(link.heartbeatSentAt(0)).isEqualTo(Moment.ZERO)
            expectThat(link.heartbeatSentAt(99)).isNull()
            server.stop("planned")
            expectThat(handler.closed.receive()).isEqualTo(LinkCloseCause.Goodbye("planned"))
            expectThat(serverHandler.closed.receive()).isEqualTo(LinkCloseCause.Local)
            expectThat(link.send(LinkMessage.Goodbye("late"))).isFalse()
        }

        /** Guards against reporting a planned stop as a lost connection when the peer closes the socket first. */
        @Test
        fun `a link that this side closes reports a local close`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val causes = List(CLOSED_LINKS) {
                RawPeer(endpoint).use { peer ->
                    peer.sendHello()
                    serverHandler.opened.receive().close("planned")
                    while (peer.read() !is LinkMessage.Goodbye) yield()
                }
                serverHandler.closed.receive()
            }
            expectThat(causes.filter { it != LinkCloseCause.Local }).isEmpty()
        }

        /** Guards against reporting a stopped process as unresponsive. */
        @Test
        fun `a client reports a refused connection`(): Unit = runBlocking {
            val (server, endpoint) = serve()
            server.stop("planned")
            val handler = RecordingHandler()
            connect(endpoint, handler)
            handler.refused.receive()
            expectThat(handler.opened.tryReceive().isSuccess).isFalse()
        }

        @Test
        fun `a client reconnects after the server restarts`(): Unit = runBlocking {
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
        fun `a link with another protocol version is refused with the reason`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val peer = peer(endpoint).apply { sendHello(version = 2) }
            expectThat(peer.readToEnd()).contains(LinkMessage.Goodbye("protocol version 2 is not 1"))
            expectThat(serverHandler.opened.tryReceive().getOrNull()).isNull()
        }

        @Test
        fun `a peer that sends invalid bytes instead of a Hello is refused`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val peer = peer(endpoint).apply { writeBytes("GET / HTTP/1.1\r\n\r\n".toByteArray()) }
            expectThat(peer.readToEnd()).filterIsInstance<LinkMessage.Heartbeat>().isEmpty()
            expectThat(serverHandler.opened.tryReceive().getOrNull()).isNull()
        }
    }

    @Nested
    inner class InvalidInput {
        private suspend fun closeCause(sendInvalidInput: RawPeer.() -> Unit): LinkCloseCause {
            val (_, endpoint) = serve()
            val unaffectedHandler = RecordingHandler()
            connect(endpoint, unaffectedHandler)
            val unaffectedLink = unaffectedHandler.opened.receive()
            serverHandler.opened.receive()
            val peer = peer(endpoint).apply { sendHello() }
            serverHandler.opened.receive()
            peer.sendInvalidInput()
            val cause = serverHandler.closed.receive()
            expectThat(unaffectedLink.send(ControlMessage.Subscribe(Revision(1)))).isTrue()
            expectThat(serverHandler.nextMessage()).isEqualTo(ControlMessage.Subscribe(Revision(1)))
            return cause
        }

        @Test
        fun `a corrupt frame closes only its own link`(): Unit = runBlocking {
            expectThat(closeCause { sendFrame(byteArrayOf(1, 2, 3)) }).isA<LinkCloseCause.ProtocolError>()
        }

        @Test
        fun `a message of an unknown type closes only its own link`(): Unit = runBlocking {
            val bytes = FrameCodec.encode(LinkMessage.Goodbye("x"))
            val unknown = String(bytes, Charsets.ISO_8859_1).replace("goodbye", "goodday")
            val cause = closeCause { sendFrame(unknown.toByteArray(Charsets.ISO_8859_1)) }
            expectThat(cause).isA<LinkCloseCause.ProtocolError>()
        }

        @Test
        fun `an oversized frame length closes the link before the frame is read`(): Unit = runBlocking {
            expectThat(closeCause { sendLength(LinkLimits.MAXIMUM_FRAME_BYTES + 1) })
                .isEqualTo(LinkCloseCause.ProtocolError("invalid frame length 4194305"))
        }

        @Test
        fun `an invalid acknowledgement closes the link`(): Unit = runBlocking {
            expectThat(closeCause { sendLength(-1) }).isEqualTo(LinkCloseCause.ProtocolError("invalid frame length -1"))
        }

        @Test
        fun `a truncated frame is reported as a lost connection`(): Unit = runBlocking {
            val cause = closeCause {
                sendLength(100)
                writeBytes(ByteArray(10))
                close()
            }
            expectThat(cause).isA<LinkCloseCause.ConnectionLost>()
        }
    }

    @Nested
    inner class Inactivity {
        @Test
        fun `a link closes once its peer has sent nothing for the limit, and not earlier`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val peer = peer(endpoint).apply { sendHello() }
            serverHandler.opened.receive()
            peer.readHeartbeat()
            // Each heartbeat proves that the link was checked after the clock was advanced.
            advance(peer, 1_250.milliseconds)
            advance(peer, 1_249.milliseconds)
            expectThat(serverHandler.closed.tryReceive().getOrNull()).isNull()
            clock.advance(1.milliseconds)
            expectThat(serverHandler.closed.receive()).isEqualTo(LinkCloseCause.Silent)
        }

        @Test
        fun `a link stays open while the handler processes a message`(): Unit = runBlocking {
            val handlerStarted = CompletableDeferred<Unit>()
            val handlerGate = CompletableDeferred<Unit>()
            val handler = RecordingHandler {
                handlerStarted.complete(Unit)
                handlerGate.await()
            }
            val (_, endpoint) = serve(handler)
            val peer = peer(endpoint).apply { sendHello() }
            handler.opened.receive()
            repeat(2) { peer.send(ControlMessage.Subscribe(Revision(it.toLong()))) }
            handlerStarted.await()
            peer.readHeartbeat()
            advance(peer, 1.hours)
            repeat(3) { advance(peer, 1_250.milliseconds) }
            handlerGate.complete(Unit)
            expectThat(handler.nextMessage()).isEqualTo(ControlMessage.Subscribe(Revision(0)))
            expectThat(handler.nextMessage()).isEqualTo(ControlMessage.Subscribe(Revision(1)))
        }

        /** Guards against closing links to live peers after a stall, before this process reads the buffered frames. */
        @Test
        fun `a link stays open after a stall of this process`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val peer = peer(endpoint).apply { sendHello() }
            serverHandler.opened.receive()
            peer.readHeartbeat()
            advance(peer, 1.hours)
            peer.send(ControlMessage.Subscribe(Revision(8)))
            val received = withTimeoutOrNull(TIMEOUT) { serverHandler.nextMessage() }
            expectThat(received).isEqualTo(ControlMessage.Subscribe(Revision(8)))
            advance(peer, 1_250.milliseconds)
        }

        /** Guards against closing a link during the transfer of a frame that takes longer than the limit. */
        @Test
        fun `a link stays open during the transfer of a large frame`(): Unit = runBlocking {
            val (_, endpoint) = serve()
            val peer = peer(endpoint).apply { sendHello() }
            serverHandler.opened.receive()
            peer.readHeartbeat()
            val chunks = FrameCodec.encode(ControlMessage.ReplicaTraffic("g", ByteArray(80_000))).toList()
                .chunked(RawPeer.ACKNOWLEDGEMENT_BYTES) { it.toByteArray() }
            chunks.dropLast(1).forEach {
                peer.sendChunk(it)
                peer.readAcknowledgement()
                advance(peer, 1_250.milliseconds)
            }
            peer.sendFrame(chunks.last())
            expectThat(withTimeoutOrNull(TIMEOUT) { serverHandler.nextMessage() }).isA<ControlMessage.ReplicaTraffic>()
        }

        private fun advance(peer: RawPeer, duration: Duration) {
            clock.advance(duration)
            peer.readHeartbeat()
        }
    }

    @Nested
    inner class BackPressure {
        @Test
        fun `the send queue to a stalled peer fills up and no accepted message is lost`(): Unit = runBlocking {
            val handlerGate = CompletableDeferred<Unit>()
            val handler = RecordingHandler { handlerGate.await() }
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
            handlerGate.complete(Unit)
            repeat(accepted) {
                expectThat(handler.nextMessage()).isA<ControlMessage.ReplicaTraffic>().get { group }.isEqualTo("$it")
            }
        }
    }

    private companion object {
        const val CLOSED_LINKS = 2_000
        val TIMEOUT = 10.seconds
    }
}
