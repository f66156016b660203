package org.zinniahoist.gateway.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.zinniahoist.gateway.dialect.PlatformDialect
import org.zinniahoist.gateway.dialect.ResultPages
import org.zinniahoist.gateway.upstream.AnswerMemoryException
import org.zinniahoist.gateway.upstream.ResponseMemory
import org.zinniahoist.wire.ServiceReply

/** Turns replies of the core about batch jobs into responses for clients. */
internal class JobResponses(dialect: PlatformDialect) {
    private val pages = ResultPages(dialect)

    /**
     * Returns the response to [reply], with status [success] if the call has succeeded. Its content stays reserved in
     * [memory].
     *
     * @throws AnswerMemoryException if the memory for the content can't be reserved.
     */
    fun of(reply: ServiceReply, success: HttpStatus, memory: ResponseMemory.Reservation): HttpResponse = when (reply) {
        is ServiceReply.Done -> HttpResponse.of(success, MediaType.JSON, "{}")
        is ServiceReply.Content -> response(success, "application/json", reply.content, memory)
        is ServiceReply.Results -> response(success, "application/json", pages.page(reply), memory)
        is ServiceReply.NotFound -> HttpResponse.of(HttpStatus.NOT_FOUND)
        is ServiceReply.Invalid -> problem(HttpStatus.BAD_REQUEST, reply.detail)
        else -> HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT)
    }

    /** Returns a problem document (RFC 9457). */
    private fun problem(status: HttpStatus, detail: String): HttpResponse {
        val document = buildJsonObject {
            put("title", status.reasonPhrase())
            put("status", status.code())
            put("detail", detail)
        }
        return HttpResponse.of(
            ResponseHeaders.of(status, "content-type", "application/problem+json"),
            HttpData.ofUtf8(document.toString()),
        )
    }

    private fun response(
        status: HttpStatus,
        type: String,
        content: ByteArray,
        memory: ResponseMemory.Reservation,
    ): HttpResponse {
        memory.reserve(content.size)
        return HttpResponse.of(ResponseHeaders.of(status, "content-type", type), HttpData.wrap(content))
    }
}
