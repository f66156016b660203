package org.zinniahoist.gateway.framing

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import org.zinniahoist.gateway.connections.ClientConnectionHandler

/**
 * Gives each request the target and the fields that its client sent before [delegate] serves it, and answers refused
 * requests. Tells the connection of each request when its response is complete.
 */
internal class OriginalRequests(private val delegate: HttpService) : HttpService {
    override fun serve(context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val channel = context.log().partial().channel()
        channel?.pipeline()?.get(ClientConnectionHandler::class.java)?.let { handler ->
            context.log().whenComplete().thenRun { handler.onResponseComplete(channel) }
        }
        val path = context.rawPath()
        val target = CarriedTarget.targetOf(path) ?: return refuse(context, CarriedTarget.refusalOf(path))
        return delegate.serve(context, request.withHeaders(originalHeaders(request.headers(), target)))
    }

    private fun originalHeaders(headers: RequestHeaders, target: String): RequestHeaders {
        val builder = headers.toBuilder().path(target)
        val carried = headers.names().filter(CarriedFields::isCarried)
        carried.forEach(builder::remove)
        carried.forEach { builder.add(CarriedFields.originalName("$it"), headers.getAll(it)) }
        return builder.build()
    }

    private fun refuse(context: ServiceRequestContext, status: Int?): HttpResponse {
        context.initiateConnectionShutdown()
        return HttpResponse.of(ResponseHeaders.of(HttpStatus.valueOf(status ?: HttpStatus.BAD_REQUEST.code())))
    }
}
