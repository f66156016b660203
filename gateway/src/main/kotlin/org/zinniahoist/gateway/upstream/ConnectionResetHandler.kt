package org.zinniahoist.gateway.upstream

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/**
 * Prevents a response that is delimited by the close of its connection from appearing complete after a connection
 * error.
 *
 * The HTTP codec treats any close of a connection as the end of a body without a length. A connection error such as a
 * reset is reported before the close; from then on this handler discards the end-of-body message, so that the response
 * fails together with its connection.
 */
internal class ConnectionResetHandler : ChannelInboundHandlerAdapter() {
    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) context.pipeline().discardBodyEnds()
        context.fireExceptionCaught(cause)
    }

    private fun ChannelPipeline.discardBodyEnds() {
        val codec = context(HttpClientCodec::class.java) ?: return
        if (get(BodyEndFilter::class.java) == null) addAfter(codec.name(), null, BodyEndFilter())
    }

    private class BodyEndFilter : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is LastHttpContent) ReferenceCountUtil.release(message) else context.fireChannelRead(message)
        }
    }
}
