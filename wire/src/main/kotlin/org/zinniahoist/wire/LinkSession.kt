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

/** What both ends of a link need. */
internal class LinkEnd(
    val hello: LinkMessage.Hello,
    val handler: LinkHandler,
    val heartbeat: () -> HeartbeatContent,
    val clock: () -> Moment,
    val limits: LinkLimits,
)

/** One open link, from hello to its end. */
internal class LinkSession(
    private val frames: FrameChannel,
    private val end: LinkEnd,
) : LinkConnection {
    private val limits = end.limits
    private val queue = SendQueue(limits.sendQueueFrames, limits.sendQueueBytes)

    // Heartbeats have their own place, as a full queue must not delay the draining flag.
    private val heartbeats = Channel<ByteArray>(Channel.CONFLATED)
    private val sent = SentHeartbeats()
    private val closed = CompletableDeferred<LinkCloseCause>()

    @Volatile
    private var goodbye: String? = null

    private val silence = PeerSilence(limits.silenceLimit, end.clock(), limits.checkInterval * 2)

    // Used by the check of this link only; its rounds follow each other.
    private var nextHeartbeat = end.clock()
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

    override fun heartbeatSentAt(sequence: Long): Moment? = sent[sequence]

    override suspend fun send(message: Message): Boolean = queue.send(encode(message))

    override fun offer(message: Message): Boolean = queue.offer(encode(message))

    override fun close(reason: String) {
        if (goodbye == null) goodbye = reason
        queue.close()
    }

    /** Exchanges hellos and serves the link until it ends. Returns whether it was open. */
    suspend fun run(): Boolean {
        val refusal = withTimeoutOrNull(limits.openTimeout) { greet() ?: OPEN } ?: "no hello in time"
        if (refusal != OPEN) {
            logger.warn { "event=link-refused detail=\"$refusal\"" }
            frames.close()
            return false
        }
        end.handler.onOpen(this)
        var cause: LinkCloseCause = LinkCloseCause.Local
        try {
            cause = serve()
        } finally {
            queue.cancel()
            frames.close()
            logger.info { "event=link-closed peer=${peer.instance} cause=\"$cause\"" }
            end.handler.onClosed(this, cause)
        }
        return true
    }

    private suspend fun greet(): String? = try {
        frames.write(encode(end.hello))
        frames.flush()
        val first = readMessage()
        when {
            first !is LinkMessage.Hello -> "first message is no hello"
            first.protocolVersion != end.hello.protocolVersion -> refuseVersion(first)
            else -> null.also { peer = first }
        }
    } catch (fault: IOException) {
        fault.message ?: "connection lost"
    }

    private suspend fun refuseVersion(hello: LinkMessage.Hello): String {
        val detail = "protocol version ${hello.protocolVersion} is not ${end.hello.protocolVersion}"
        frames.write(encode(LinkMessage.Goodbye(detail)))
        frames.flush()
        return detail
    }

    private suspend fun serve(): LinkCloseCause = coroutineScope {
        val loops = listOf(
            loop { write() },
            loop { read() },
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
        // Nobody takes frames from here on. Closing the queue alone would leave waiting senders waiting for ever.
        queue.cancel()
        frames.close()
        loops.forEach { it.cancelAndJoin() }
        cause
    }

    /** Ends the link. Once this side has closed it, what the peer does in answer is not the cause. */
    private fun finish(cause: LinkCloseCause) {
        closed.complete(if (goodbye == null) cause else LinkCloseCause.Local)
    }

    private fun kotlinx.coroutines.CoroutineScope.loop(body: suspend () -> LinkCloseCause): Job = launch {
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
            val frame = queued() ?: afterYield() ?: nextFrame() ?: break
            frames.write(frame)
            queue.onWritten()
        }
        withTimeoutOrNull(limits.closeTimeout) {
            frames.write(encode(LinkMessage.Goodbye(goodbye ?: "closed")))
            frames.flush()
        }
        return LinkCloseCause.Local
    }

    private fun queued(): ByteArray? = heartbeats.tryReceive().getOrNull() ?: queue.tryTake()

    /** Lets senders that are ready queue their frames, so that one flush takes several. */
    private suspend fun afterYield(): ByteArray? {
        yield()
        return queued()
    }

    private suspend fun nextFrame(): ByteArray? {
        frames.flush()
        return select {
            heartbeats.onReceive { it }
            queue.onTake { it.getOrNull().also(queue::onTaken) }
        }
    }

    private suspend fun read(): LinkCloseCause {
        while (true) {
            val message = readMessage()
            if (message is LinkMessage.Goodbye) return LinkCloseCause.Goodbye(message.reason)
            if (message is LinkMessage.Hello) throw FrameException("second hello")
            if (message is LinkMessage.Heartbeat) lastHeartbeatReceived = message.sequence
            silence.onHandlingStart()
            end.handler.onMessage(this, message)
            silence.onHandlingEnd(end.clock())
        }
    }

    private suspend fun readMessage(): Message = frames.read {
        received++
        silence.onProgress(end.clock())
    }

    /** Runs in rounds of the timer. A fault ends this link only, as other links share the timer. */
    private fun check() {
        try {
            checkAt(end.clock())
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
        if (goodbye != null && closingSince == null) closingSince = now
        if (closingSince?.let { now - it >= limits.closeTimeout } == true) finish(LinkCloseCause.Local)
        if (silence.check(now)) finish(LinkCloseCause.Silent)
    }

    private fun sendHeartbeat(sequence: Long, now: Moment) {
        val content = end.heartbeat()
        sent.add(sequence, now)
        heartbeats.trySend(
            encode(
                LinkMessage.Heartbeat(
                    sequence,
                    lastHeartbeatReceived,
                    content.draining,
                    content.settingsRevision,
                    content.load,
                ),
            ),
        )
    }

    private fun encode(message: Message): ByteArray = FrameCodec.encode(message).also {
        require(it.size <= limits.maximumFrameBytes) { "message of ${it.size} bytes exceeds the frame limit" }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val OPEN = ""
    }
}
