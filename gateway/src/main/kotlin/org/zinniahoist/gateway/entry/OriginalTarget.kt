package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.server.ServiceRequestContext
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.channel.CombinedChannelDuplexHandler
import org.zinniahoist.gateway.framing.CarriedTarget
import org.zinniahoist.model.RequestTarget

/**
 * Keeps the target of a request as its client sent it. The HTTP library rewrites targets for its own routing: it
 * decodes escapes, joins empty segments, removes parameters of segments, and refuses dot segments.
 */
internal object OriginalTarget {
    /** Target that the library answers with status 400. */
    private const val INVALID_TARGET = "/%"

    /** Makes the connection of [pipeline] keep the targets of its requests. */
    fun install(pipeline: ChannelPipeline) {
        pipeline.addFirst(CodecAwaiter())
    }

    /** Returns [request] with its target as the client sent it, or null if that can't be passed on unchanged. */
    fun restore(context: ServiceRequestContext, request: HttpRequest): HttpRequest? {
        // HTTP/2 connections have no codec that is followed by a keeper.
        val isKept = !context.sessionProtocol().isMultiplex
        val target = if (isKept) CarriedTarget.targetOf(context.rawPath()) else context.rawPath()
        if (target == null || !RequestTarget.isValid(target)) return null
        return request.withHeaders(request.headers().toBuilder().path(target).build())
    }

    /**
     * Adds a [TargetKeeper] once the library has chosen the HTTP/1 codec.
     *
     * The library chooses by the first bytes and decodes the rest at once. Single bytes are passed on until it has
     * chosen, so that the codec does not receive the whole request line before the handler is in place.
     */
    private class CodecAwaiter : ChannelInboundHandlerAdapter() {
        private var bytes = 0

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message !is ByteBuf) {
                context.fireChannelRead(message)
                return
            }
            while (message.isReadable && bytes < PREFACE_BYTES && !addKeeper(context.pipeline())) {
                bytes++
                context.fireChannelRead(message.readRetainedSlice(1))
            }
            if (bytes == PREFACE_BYTES || addKeeper(context.pipeline())) context.pipeline().remove(this)
            context.fireChannelRead(message)
        }

        private fun addKeeper(pipeline: ChannelPipeline): Boolean {
            val codec = pipeline.context(CombinedChannelDuplexHandler::class.java) ?: return false
            if (pipeline.get(TargetKeeper::class.java) == null) pipeline.addAfter(codec.name(), null, TargetKeeper())
            return true
        }
    }

    /** Makes the target of each request a [CarriedTarget]. */
    private class TargetKeeper : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is io.netty.handler.codec.http.HttpRequest && message.decoderResult().isSuccess) keep(message)
            context.fireChannelRead(message)
        }

        private fun keep(request: io.netty.handler.codec.http.HttpRequest) {
            val target = request.uri()
            request.uri = if (RequestTarget.isValid(target)) CarriedTarget.pathOf(target) else INVALID_TARGET
        }
    }

    /** Length of the text with which an HTTP/2 connection begins. */
    private const val PREFACE_BYTES = 24
}
