package org.zinniahoist.gateway.connections

import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.util.concurrent.Future
import org.zinniahoist.gateway.framing.RequestFramingHandler
import org.zinniahoist.gateway.upstream.HeapBudget
import org.zinniahoist.model.Moment
import org.zinniahoist.policy.connections.Admission
import org.zinniahoist.policy.connections.ClosingReason
import org.zinniahoist.policy.connections.ConnectionLimits
import org.zinniahoist.policy.connections.ConnectionTable
import org.zinniahoist.policy.connections.ConnectionWatch
import org.zinniahoist.policy.connections.OutputProgress
import java.util.concurrent.TimeUnit

/**
 * Bounds what one connection of a client makes the process hold. Stands before [framing], next to the socket.
 *
 * A connection on which a request waits for the end of the response before it is not read. This holds back the
 * `read` of the pipeline and leaves auto-read alone, which the HTTP library uses for its own flow control. A connection
 * without such a request is read at all times, so that the end of the connection cancels the request under way.
 */
internal class ClientConnectionHandler(
    private val framing: RequestFramingHandler,
    private val table: ConnectionTable<Channel>,
    private val limits: ConnectionLimits,
    private val input: HeapBudget,
    private val closures: ClosureLog,
    private val clock: () -> Moment,
) : ChannelDuplexHandler() {
    private lateinit var watch: ConnectionWatch
    private var check: Future<*>? = null
    private var isReadHeldBack = false
    private var isClosing = false
    private var reservedBytes = 0L

    override fun channelActive(context: ChannelHandlerContext) {
        val now = clock()
        watch = ConnectionWatch(limits, now)
        when (val admission = table.open(context.channel(), now)) {
            is Admission.Accepted -> Unit
            is Admission.InPlaceOf -> reclaim(admission.connection)
            is Admission.Refused -> return close(context, ClosingReason.TOO_MANY)
        }
        val interval = limits.unreadTimeout.inWholeMilliseconds / CHECKS_IN_TIMEOUT
        check = context.executor()
            .scheduleWithFixedDelay({ check(context) }, interval, interval, TimeUnit.MILLISECONDS)
        context.fireChannelActive()
    }

    private fun reclaim(channel: Channel) {
        closures.onClosed(ClosingReason.RECLAIMED)
        channel.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        check?.cancel(false)
        table.close(context.channel())
        context.fireChannelInactive()
        reserve(0)
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        context.fireChannelRead(message)
        onInput(context)
    }

    override fun read(context: ChannelHandlerContext) {
        isReadHeldBack = framing.hasRequestAhead || isClosing
        if (!isReadHeldBack) context.read()
    }

    /** Goes on with the next request of the connection. May be called on any thread. */
    fun onResponseComplete(channel: Channel) {
        channel.eventLoop().execute {
            val context = channel.pipeline().context(this) ?: return@execute
            framing.onResponseComplete(channel.pipeline().context(framing))
            onInput(context)
            if (isReadHeldBack) read(context)
        }
    }

    /** Accounts for what [framing] holds and for whether a request is under way. */
    private fun onInput(context: ChannelHandlerContext) {
        if (isClosing) return
        val now = clock()
        watch.onBytes(framing.hasIncompleteHead, now)
        if (framing.isRequestComplete) table.onRequest(context.channel()) else table.onActivity(context.channel(), now)
        if (!reserve(framing.heldBytes.toLong())) close(context, ClosingReason.INPUT_MEMORY)
    }

    private fun reserve(bytes: Long): Boolean {
        val more = bytes - reservedBytes
        if (more > 0 && !input.tryTake(more)) return false
        if (more < 0) input.give(-more)
        reservedBytes = bytes
        return true
    }

    private fun check(context: ChannelHandlerContext) {
        val buffer = context.channel().unsafe().outboundBuffer() ?: return
        val progress = OutputProgress(buffer.totalPendingWriteBytes(), buffer.currentProgress())
        watch.closingReason(progress, clock())?.let { close(context, it) }
    }

    private fun close(context: ChannelHandlerContext, reason: ClosingReason) {
        if (isClosing) return
        isClosing = true
        closures.onClosed(reason)
        context.close()
    }

    private companion object {
        const val CHECKS_IN_TIMEOUT = 3
    }
}
