package org.zinniahoist.wire

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import org.zinniahoist.model.Moment
import java.io.IOException

/** Settings and callbacks that all sessions of a [LinkClient] or a [LinkServer] share. */
internal class LinkContext(
    val hello: LinkMessage.Hello,
    val handler: LinkHandler,
    val heartbeat: () -> HeartbeatContent,
    val clock: () -> Moment,
    val limits: LinkLimits,
)

/** Runs one connection of a link, from the exchange of `Hello` messages until it is closed. */
internal class LinkSession(
    private val frames: FrameChannel,
    private val context: LinkContext,
) : LinkConnection {
    private val limits = context.limits
    private val queue = SendQueue(limits.sendQueueFrames, limits.sendQueueBytes)

    // Heartbeats bypass the send queue, so that a full queue does not delay the draining flag.
    private val heartbeats = Channel<ByteArray>(Channel.CONFLATED)
    private val sentHeartbeats = SentHeartbeats()
    private val closed = CompletableDeferred<LinkCloseCause>()

    @Volatile
    private var closeReason: String? = null

    private val detector = PeerInactivityDetector(limits.silenceLimit, context.clock(), limits.checkInterval * 2)

    // Accessed by the periodic check only, whose runs never overlap.
    private var nextHeartbeat = context.clock()
    private var nextSequence = 0L
    private var closingSince: Moment? = null

    override lateinit var peer: LinkMessage.Hello
        private set

    @Volatile
    override var lastHeartbeatReceived: Long = -1
        private set

    @Volatile
    override var received: Long = 0
        private set

    override val unsent: UnsentFrames get() = queue.unsent

    override fun heartbeatSentAt(sequence: Long): Moment? = sentHeartbeats[sequence]

    override suspend fun send(message: Message): Boolean = queue.send(encode(message))

    override fun offer(message: Message): Boolean = queue.offer(encode(message))

    override fun close(reason: String) {
        if (closeReason == null) closeReason = reason
        queue.close()
    }

    /** Exchanges `Hello` messages and serves the link until it is closed. Returns whether the exchange succeeded. */
    suspend fun run(): Boolean {
        val refusal = withTimeoutOrNull(limits.openTimeout) { handshake() ?: ACCEPTED } ?: "handshake timed out"
        if (refusal != ACCEPTED) {
            logger.warn { "event=link-refused detail=\"$refusal\"" }
            frames.close()
            return false
        }
        context.handler.onOpen(this)
        var cause: LinkCloseCause = LinkCloseCause.Local
        try {
            cause = serve()
        } finally {
            queue.cancel()
            frames.close()
            logger.info { "event=link-closed peer=${peer.instance} cause=\"$cause\"" }
            context.handler.onClosed(this, cause)
        }
        return true
    }

    /** Exchanges `Hello` messages. Returns the reason if the link is refused, or null if it is open. */
    private suspend fun handshake(): String? = try {
        frames.write(encode(context.hello))
        frames.flush()
        val first = readMessage(limits.maximumHelloBytes)
        when {
            first !is LinkMessage.Hello -> "first message is not a Hello"
            first.protocolVersion != context.hello.protocolVersion -> refuseVersion(first)
            else -> null.also { peer = first }
        }
    } catch (fault: IOException) {
        fault.message ?: "connection lost"
    }

    private suspend fun refuseVersion(hello: LinkMessage.Hello): String {
        val detail = "protocol version ${hello.protocolVersion} is not ${context.hello.protocolVersion}"
        frames.write(encode(LinkMessage.Goodbye(detail)))
        frames.flush()
        return detail
    }

    private suspend fun serve(): LinkCloseCause = coroutineScope {
        val loops = listOf(
            launchLoop { write() },
            launchLoop { read() },
        )
        val timer = LinkTimer.of(limits.checkInterval)
        val check = LinkCheck(::check)
        val cause = try {
            check.run()
            timer.add(check)
            closed.await()
        } finally {
            timer.remove(check)
        }
        // Cancels rather than closes the queue: no frame is dequeued from here on, and suspended senders must resume.
        queue.cancel()
        frames.close()
        loops.forEach { it.cancelAndJoin() }
        cause
    }

    /** Ends the link with [cause], or with `Local` if this side has begun to close it, whatever the peer does next. */
    private fun finish(cause: LinkCloseCause) {
        closed.complete(if (closeReason == null) cause else LinkCloseCause.Local)
    }

    private fun kotlinx.coroutines.CoroutineScope.launchLoop(body: suspend () -> LinkCloseCause): Job = launch {
        finish(
            try {
                body()
            } catch (cancelled: CancellationException) {
                if (!isActive) throw cancelled
                LinkCloseCause.ConnectionLost(cancelled.message.orEmpty())
            } catch (fault: FrameException) {
                LinkCloseCause.ProtocolError(fault.message.orEmpty())
            } catch (fault: IOException) {
                LinkCloseCause.ConnectionLost(fault.message.orEmpty())
            } catch (fault: Exception) {
                logger.error(fault) { "event=link-handler-failed peer=${peer.instance}" }
                LinkCloseCause.ProtocolError("handler failed: ${fault.message}")
            },
        )
    }

    private suspend fun write(): LinkCloseCause {
        while (true) {
            val frame = pollFrame() ?: pollAfterYield() ?: awaitFrame() ?: break
            frames.write(frame)
            queue.markWritten()
        }
        withTimeoutOrNull(limits.closeTimeout) {
            frames.write(encode(LinkMessage.Goodbye(closeReason ?: "closed")))
            frames.flush()
        }
        return LinkCloseCause.Local
    }

    private fun pollFrame(): ByteArray? = heartbeats.tryReceive().getOrNull() ?: queue.tryDequeue()

    /** Yields to senders that are ready to enqueue, so that several frames share one flush. */
    private suspend fun pollAfterYield(): ByteArray? {
        yield()
        return pollFrame()
    }

    private suspend fun awaitFrame(): ByteArray? {
        frames.flush()
        return select {
            heartbeats.onReceive { it }
            queue.onDequeue { it.getOrNull().also(queue::markInFlight) }
        }
    }

    private suspend fun read(): LinkCloseCause {
        while (true) {
            val message = readMessage()
            if (message is LinkMessage.Goodbye) return LinkCloseCause.Goodbye(message.reason)
            if (message is LinkMessage.Hello) throw FrameException("unexpected second Hello")
            if (message is LinkMessage.Heartbeat) lastHeartbeatReceived = message.sequence
            detector.onHandlingStart()
            context.handler.onMessage(this, message)
            detector.onHandlingEnd(context.clock())
        }
    }

    private suspend fun readMessage(maximumBytes: Int = limits.maximumFrameBytes): Message = frames.read(maximumBytes) {
        received++
        detector.onProgress(context.clock())
    }

    /** Runs periodically on the shared timer. Catches all exceptions, so that a fault closes only this link. */
    private fun check() {
        try {
            checkAt(context.clock())
        } catch (fault: Exception) {
            logger.error(fault) { "event=link-check-failed peer=${peer.instance}" }
            finish(LinkCloseCause.ProtocolError("check failed: ${fault.message}"))
        }
    }

    private fun checkAt(now: Moment) {
        if (now >= nextHeartbeat) {
            sendHeartbeat(nextSequence++, now)
            nextHeartbeat = now + limits.heartbeatInterval
        }
        if (closeReason != null && closingSince == null) closingSince = now
        if (closingSince?.let { now - it >= limits.closeTimeout } == true) finish(LinkCloseCause.Local)
        if (detector.check(now)) finish(LinkCloseCause.Silent)
    }

    private fun sendHeartbeat(sequence: Long, now: Moment) {
        val content = context.heartbeat()
        sentHeartbeats.add(sequence, now)
        heartbeats.trySend(
            encode(
                LinkMessage.Heartbeat(
                    sequence,
                    lastHeartbeatReceived,
                    content.draining,
                    content.settingsRevision,
                    content.load,
                    content.isCaughtUp,
                ),
            ),
        )
    }

    private fun encode(message: Message): ByteArray = FrameCodec.encode(message).also {
        require(it.size <= limits.maximumFrameBytes) { "message of ${it.size} bytes exceeds the frame limit" }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val ACCEPTED = ""
    }
}
