package org.zinniahoist.standin.client

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import org.zinniahoist.standin.engine.VersionSpan
import org.zinniahoist.standin.engine.append
import org.zinniahoist.standin.http.standInJson
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture

/** Reads the server-sent events of a completion and turns them into an outcome. */
internal class EventReader(private val defectOf: (text: String, tokens: Int) -> String?) : Subscriber<HttpObject> {
    val outcome = CompletableFuture<LiveOutcome>()
    private val sentAt = System.nanoTime()
    private var firstTokenAt = 0L
    private var headers: ResponseHeaders? = null
    private val line = ByteArrayOutputStream()
    private val text = StringBuilder()
    private val errorBody = StringBuilder()
    private val spans = mutableListOf<VersionSpan>()
    private var done = false

    override fun onSubscribe(subscription: Subscription) = subscription.request(Long.MAX_VALUE)

    override fun onNext(item: HttpObject) {
        when (item) {
            is ResponseHeaders -> headers = item
            is HttpData -> if (headers?.status()?.isSuccess ==
                true
            ) {
                read(item)
            } else {
                errorBody.append(item.toStringUtf8())
            }
        }
    }

    override fun onError(cause: Throwable) {
        outcome.complete(LiveOutcome.Broken(cause.toString(), text.toString()))
    }

    override fun onComplete() {
        outcome.complete(result())
    }

    private fun read(data: HttpData) {
        data.array().forEach { byte ->
            if (byte == NEW_LINE) {
                event(line.toString(Charsets.UTF_8))
                line.reset()
            } else {
                line.write(byte.toInt())
            }
        }
    }

    private fun event(line: String) {
        val content = line.removePrefix("data:").trim()
        if (!line.startsWith("data:")) return
        if (content == "[DONE]") {
            done = true
            return
        }
        val chunk = standInJson.decodeFromString<Chunk>(content)
        val choice = chunk.choices.firstOrNull() ?: return
        if (firstTokenAt == 0L) firstTokenAt = System.nanoTime()
        text.append(choice.text ?: choice.delta?.content ?: "")
        if (chunk.tokens > 0) spans.append(chunk.weightVersion, chunk.tokens)
    }

    private fun result(): LiveOutcome {
        val status = headers?.status() ?: return LiveOutcome.Broken("no response headers", "")
        if (!status.isSuccess) {
            val retryAfter = headers?.get("retry-after")
            return LiveOutcome.Refused(problemOf(status.code(), retryAfter, errorBody.toString()))
        }
        if (!done) return LiveOutcome.Broken("the stream ended without [DONE]", text.toString())
        val tokens = spans.sumOf { it.tokens }
        val defect = defectOf(text.toString(), tokens)
        return LiveOutcome.Answered(
            text = text.toString(),
            tokens = tokens,
            spans = spans.toList(),
            firstTokenNanoseconds = firstTokenAt - sentAt,
            totalNanoseconds = System.nanoTime() - sentAt,
            defect = defect,
        )
    }

    @Serializable
    private data class Chunk(
        val choices: List<Choice> = emptyList(),
        @SerialName("weight_version") val weightVersion: Long? = null,
        val tokens: Int = 0,
    )

    @Serializable
    private data class Choice(
        val text: String? = null,
        val delta: Delta? = null,
    )

    @Serializable
    private data class Delta(val content: String = "")

    private companion object {
        private const val NEW_LINE = '\n'.code.toByte()
    }
}
