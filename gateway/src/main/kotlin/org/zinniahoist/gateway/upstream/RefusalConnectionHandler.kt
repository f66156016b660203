package org.zinniahoist.gateway.upstream

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse

/**
 * Ends a connection with the first response that says that its request was not run.
 *
 * Such a request is sent again under the same identifier. A late copy of the refusal on the same connection would be
 * taken for the response to the second request, which the upstream then runs although its caller is told otherwise.
 *
 * @param notRunHeader name of the header that marks a refusal.
 */
internal class RefusalConnectionHandler(private val notRunHeader: String) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        // The HTTP codec is added when the connection is established, after this handler.
        val codec = context.pipeline().context(HttpClientCodec::class.java)
        if (codec != null) {
            context.pipeline().addAfter(codec.name(), null, RefusalFilter())
            context.pipeline().remove(this)
        }
        context.fireChannelRead(message)
    }

    private inner class RefusalFilter : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpResponse && message.headers().contains(notRunHeader)) {
                message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            }
            context.fireChannelRead(message)
        }
    }
}
