package org.zinniahoist.gateway.upstream

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/**
 * Keeps an answer that ends with its connection from passing as complete if the connection failed.
 *
 * The HTTP codec takes each end of a connection for the end of a body without a length. A connection that fails, as by
 * a reset, says so before it ends; from then on no end of a body is let through, and the response fails with its
 * connection.
 */
internal class ResetGuard : ChannelInboundHandlerAdapter() {
    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause is IOException) context.pipeline().dropEnds()
        context.fireExceptionCaught(cause)
    }

    private fun ChannelPipeline.dropEnds() {
        val codec = context(HttpClientCodec::class.java) ?: return
        if (get(EndFilter::class.java) == null) addAfter(codec.name(), null, EndFilter())
    }

    private class EndFilter : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is LastHttpContent) ReferenceCountUtil.release(message) else context.fireChannelRead(message)
        }
    }
}
