package org.zinniahoist.standin.engine

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import org.zinniahoist.standin.http.jsonResponse
import java.io.IOException
import java.util.concurrent.CompletableFuture

/** Writes a stream as server-sent events, up to [tokensPerChunk] tokens of one version in each. */
internal class EventSink(
    private val writer: HttpResponseWriter,
    private val format: AnswerFormat,
    private val tokensPerChunk: Int,
) : TokenSink {
    private val text = StringBuilder()
    private var tokens = 0
    private var version: Long? = null

    override fun accept(text: String, version: Long?, finishReason: String?) {
        if (tokens > 0 && version != this.version) flush(null)
        this.version = version
        this.text.append(text)
        tokens += 1
        if (finishReason != null || tokens >= tokensPerChunk) flush(finishReason)
        if (finishReason != null) {
            writer.tryWrite(HttpData.ofUtf8("data: [DONE]\n\n"))
            writer.close()
        }
    }

    override fun abort() {
        writer.close(IOException("the engine stopped"))
    }

    private fun flush(finishReason: String?) {
        val chunk = format.chunk(text.toString(), version, tokens, finishReason)
        writer.tryWrite(HttpData.ofUtf8("data: $chunk\n\n"))
        text.clear()
        tokens = 0
    }
}

/** Collects a whole answer. */
internal class WholeSink(
    private val format: AnswerFormat,
    private val stream: () -> DecodeStream,
) : TokenSink {
    private val text = StringBuilder()
    val response = CompletableFuture<HttpResponse>()

    override fun accept(text: String, version: Long?, finishReason: String?) {
        this.text.append(text)
        if (finishReason == null) return
        response.complete(
            HttpResponse.of(HttpStatus.OK, MediaType.JSON, format.whole(this.text.toString(), stream()).toString()),
        )
    }

    override fun abort() {
        response.complete(jsonResponse(mapOf("error" to "the engine stopped"), HttpStatus.INTERNAL_SERVER_ERROR))
    }
}
