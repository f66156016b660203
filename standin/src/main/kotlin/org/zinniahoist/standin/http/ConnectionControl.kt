package org.zinniahoist.standin.http

import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPromise
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.ConcurrentHashMap

/** Tracks the accepted connections of a server in order to reset or silence them. */
internal class ConnectionControl {
    private val gates = ConcurrentHashMap.newKeySet<Gate>()

    @Volatile
    private var refusing = false

    fun newGate(): ChannelDuplexHandler = Gate()

    /** Resets all connections, and each new one until [acceptAll]. */
    fun resetAll() {
        refusing = true
        gates.forEach { gate -> gate.reset() }
    }

    fun acceptAll() {
        refusing = false
    }

    /** Discards all further bytes, in both directions, on the connections that are open now. */
    fun silenceOpen() {
        gates.forEach { gate -> gate.silent = true }
    }

    /** Resets the open connection [channel]. */
    fun reset(channel: Channel) {
        gates.filter { it.belongsTo(channel) }.forEach { it.reset() }
    }

    private inner class Gate : ChannelDuplexHandler() {
        @Volatile
        var silent = false

        @Volatile
        private var context: ChannelHandlerContext? = null

        fun belongsTo(channel: Channel): Boolean = context?.channel() === channel

        // Closing the channel instead would let the HTTP/2 handler finish the open streams first.
        fun reset() {
            val current = context ?: return
            // On the event loop, because setting the option of a channel that closes meanwhile throws.
            current.channel().eventLoop().execute {
                if (current.channel().isOpen) {
                    current.channel().config().setOption(ChannelOption.SO_LINGER, 0)
                    current.close()
                }
            }
        }

        override fun handlerAdded(context: ChannelHandlerContext) {
            this.context = context
            gates.add(this)
            if (refusing) reset()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            gates.remove(this)
            context.fireChannelInactive()
        }

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (silent) ReferenceCountUtil.release(message) else context.fireChannelRead(message)
        }

        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            if (silent) {
                ReferenceCountUtil.release(message)
                promise.trySuccess()
            } else {
                context.write(message, promise)
            }
        }
    }
}
