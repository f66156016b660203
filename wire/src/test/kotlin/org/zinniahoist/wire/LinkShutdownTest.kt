package org.zinniahoist.wire

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.zinniahoist.model.Endpoint
import org.zinniahoist.model.Revision
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LinkShutdownTest {
    private val cleanup = ArrayDeque<AutoCloseable>()
    private val clock = ManualClock()
    private val handler = RecordingHandler()

    @AfterEach
    fun close() = cleanup.reversed().forEach { it.close() }

    private suspend fun serve(handler: LinkHandler, limits: LinkLimits): Pair<LinkServer, RawPeer> {
        val bind = Endpoint("127.0.0.1", 0)
        val server = LinkServer(bind, hello("server"), handler, { HeartbeatContent() }, clock::now, limits)
        cleanup += server
        val peer = RawPeer(server.start()).also { cleanup += it }
        return server to peer
    }

    /** Guards against senders that stay suspended, and leak their messages, after a link with a full queue closes. */
    @Test
    fun `senders suspended on a full queue resume when the link closes`(): Unit = runBlocking {
        val peer = serve(handler, LinkLimits(sendQueueFrames = 1)).second
        peer.sendHello()
        val link = handler.opened.receive()
        val scope = CoroutineScope(Dispatchers.Default)
        val senders = List(5) {
            scope.async(start = CoroutineStart.UNDISPATCHED) {
                link.send(ControlMessage.ReplicaTraffic("g", Random(it).nextBytes(100_000)))
            }
        }
        expectThat(link.offer(ControlMessage.Subscribe(Revision(1)))).isFalse()
        peer.close()
        handler.closed.receive()
        val sent = withTimeoutOrNull(TIMEOUT) { senders.awaitAll() }
        scope.cancel()
        // At most one frame is in the queue and one in the writer.
        expectThat(sent.orEmpty().count { !it }).isGreaterThanOrEqualTo(3)
    }

    /** Guards against a shutdown that is blocked by a handler that hangs. */
    @Test
    fun `a server stops although a handler hangs`(): Unit = runBlocking {
        val handlerStarted = CompletableDeferred<Unit>()
        val handlerGate = CompletableDeferred<Unit>()
        val hanging = RecordingHandler {
            handlerStarted.complete(Unit)
            withContext(NonCancellable) { handlerGate.await() }
        }
        val limits = LinkLimits(openTimeout = 200.milliseconds, closeTimeout = 100.milliseconds)
        val (server, peer) = serve(hanging, limits)
        peer.sendHello()
        peer.send(ControlMessage.Subscribe(Revision(1)))
        handlerStarted.await()
        val stopped = withTimeoutOrNull(TIMEOUT) { server.stop("planned") }
        handlerGate.complete(Unit)
        expectThat(stopped).isEqualTo(Unit)
    }

    /** Guards against an accept loop that fails with an unexpected exception type when the server closes. */
    @Test
    fun `closing a server during an accept throws no exception`(): Unit = runBlocking {
        val uncaught = ConcurrentLinkedQueue<Throwable>()
        val before = Thread.getDefaultUncaughtExceptionHandler()
        Thread.setDefaultUncaughtExceptionHandler { _, fault -> uncaught += fault }
        try {
            repeat(SERVERS) { serve(handler, LinkLimits()).toList().forEach { it.close() } }
            delay(500.milliseconds)
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before)
        }
        expectThat(uncaught.toList()).isEmpty()
    }

    private companion object {
        /** Of 3,000 servers that close immediately, about ten close during an accept. */
        const val SERVERS = 3_000
        val TIMEOUT = 10.seconds
    }
}
