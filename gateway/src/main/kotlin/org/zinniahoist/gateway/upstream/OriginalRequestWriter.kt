package org.zinniahoist.gateway.upstream

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import org.zinniahoist.gateway.framing.CarriedFields
import org.zinniahoist.gateway.framing.CarriedTarget
import org.zinniahoist.gateway.framing.ResponseFramingHandler
import java.net.SocketAddress

/**
 * Sends a request as its caller wrote it, in place of the [CarriedTarget] and the [CarriedFields] that pass the HTTP
 * library unchanged. The library encodes characters of targets, and fails targets that upstreams accept.
 */
internal class OriginalRequestWriter : ChannelOutboundHandlerAdapter() {
    override fun connect(
        context: ChannelHandlerContext,
        remote: SocketAddress,
        local: SocketAddress?,
        promise: ChannelPromise,
    ) {
        // The library adds the codec before the connection attempt reaches this handler.
        val codec = context.pipeline().context(HttpClientCodec::class.java)
        if (codec == null) {
            promise.setFailure(IllegalStateException("no HTTP codec to send requests with"))
            return
        }
        context.pipeline().addAfter(codec.name(), null, Writer())
        context.connect(remote, local, promise)
        context.pipeline().remove(this)
    }

    private class Writer : ChannelOutboundHandlerAdapter() {
        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            if (message is HttpRequest) {
                message.uri = checkNotNull(CarriedTarget.targetOf(message.uri()))
                restoreFields(message.headers())
                context.pipeline().get(ResponseFramingHandler::class.java)?.onRequest(message.method().name())
            }
            context.write(message, promise)
        }

        private fun restoreFields(headers: HttpHeaders) {
            val carried = headers.names().filter(CarriedFields::isCarried)
            val fields = carried.map { CarriedFields.originalName(it) to headers.getAll(it) }
            carried.forEach(headers::remove)
            fields.forEach { (name, values) -> headers.add(name, values) }
        }
    }
}
