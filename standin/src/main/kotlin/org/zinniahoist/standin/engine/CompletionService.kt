package org.zinniahoist.standin.engine

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import org.zinniahoist.standin.http.errorResponse
import org.zinniahoist.standin.http.standInJson
import java.util.concurrent.atomic.AtomicLong

/** Turns completion requests into streams of the decode loop. */
internal class CompletionService(
    private val configuration: EngineConfiguration,
    private val orders: EngineOrders,
    private val loop: DecodeLoop,
) {
    private val numbers = AtomicLong()

    /** Answers a text completion or, if [chat], a chat completion. */
    fun complete(request: AggregatedHttpRequest, chat: Boolean): HttpResponse {
        val body = standInJson.decodeFromString<CompletionRequest>(request.contentUtf8())
        val problem = problemOf(body, chat)
        if (problem != null) return problem
        val answer = answerTo(body)
        val handle = body.kvHandle?.let { KvHandle.parse(it) }
        if (body.kvHandle != null && handle?.belongsTo(answer) != true) {
            return errorResponse(HttpStatus.BAD_REQUEST, "kv_handle belongs to another request")
        }
        val position = maxOf(body.resumeTokens, handle?.tokens ?: 0)
        if (position !in 0 until answer.tokens) {
            return errorResponse(HttpStatus.BAD_REQUEST, "the answer has no token at position $position")
        }
        val identifier = body.requestIdentifier ?: "${configuration.name}-${numbers.incrementAndGet()}"
        val format = AnswerFormat(identifier, body.model, chat)
        val start = { sink: TokenSink ->
            DecodeStream(identifier, body.model, body.fullPrompt, answer, position, handle != null, sink)
        }
        return if (body.stream) streamed(format, start) else whole(format, start)
    }

    private fun problemOf(body: CompletionRequest, chat: Boolean): HttpResponse? = when {
        !orders.serves(body.model) ->
            errorResponse(HttpStatus.NOT_FOUND, "model ${body.model} is not loaded")
        chat && body.messages.isEmpty() -> errorResponse(HttpStatus.BAD_REQUEST, "messages is missing")
        !chat && body.prompt == null -> errorResponse(HttpStatus.BAD_REQUEST, "prompt is missing")
        body.maximumTokens != null && body.maximumTokens < 1 ->
            errorResponse(HttpStatus.BAD_REQUEST, "max_tokens must be positive")
        else -> null
    }

    private fun answerTo(body: CompletionRequest): AnswerText {
        val maximumTokens = body.maximumTokens ?: configuration.defaultMaximumTokens
        return AnswerText(body.fullPrompt, body.seed, maximumTokens, configuration.lengths)
    }

    private fun streamed(format: AnswerFormat, start: (TokenSink) -> DecodeStream): HttpResponse {
        val response = HttpResponse.streaming()
        response.write(ResponseHeaders.of(HttpStatus.OK, "content-type", MediaType.EVENT_STREAM.toString()))
        val stream = start(EventSink(response, format, configuration.tokensPerChunk))
        response.whenComplete().whenComplete { _, _ -> if (!stream.finished) loop.cancel(stream) }
        loop.submit(stream)
        return response
    }

    private fun whole(format: AnswerFormat, start: (TokenSink) -> DecodeStream): HttpResponse {
        lateinit var stream: DecodeStream
        val sink = WholeSink(format) { stream }
        stream = start(sink)
        val response = HttpResponse.of(sink.response)
        response.whenComplete().whenComplete { _, _ -> if (!stream.finished) loop.cancel(stream) }
        loop.submit(stream)
        return response
    }
}
