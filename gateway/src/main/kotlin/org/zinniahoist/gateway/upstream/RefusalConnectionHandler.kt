package org.zinniahoist.gateway.upstream

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse

/**
 * Ends a connection with the first response after which its request may be sent again.
 *
 * Such a request is sent again under the same identifier. A late copy of the response on the same connection would be
 * taken for the response to the second request: its caller would be told that it was not run while the upstream runs
 * it, a request that may run once would be sent to another upstream, or one failed run would be counted as two.
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
            if (message is HttpResponse && statementOf(message).allowsRepetition) {
                message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            }
            context.fireChannelRead(message)
        }

        private fun statementOf(response: HttpResponse): RunStatement =
            RunStatement.of(response.status().code(), response.headers().contains(notRunHeader))
    }
}
