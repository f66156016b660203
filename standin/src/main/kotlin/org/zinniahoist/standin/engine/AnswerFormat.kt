package org.zinniahoist.standin.engine

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Writes answers in the format of text completions or, if [chat], of chat completions. */
internal class AnswerFormat(
    private val identifier: String,
    private val model: String,
    private val chat: Boolean,
) {
    fun chunk(
        text: String,
        version: Long?,
        tokens: Int,
        finishReason: String?,
    ): String = buildJsonObject {
        put("id", identifier)
        put("object", if (chat) "chat.completion.chunk" else "text_completion")
        put("model", model)
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                if (chat) putJsonObject("delta") { put("content", text) } else put("text", text)
                put("finish_reason", finishReason)
            }
        }
        put("weight_version", version)
        put("tokens", tokens)
    }.toString()

    fun whole(text: String, stream: DecodeStream): JsonObject = buildJsonObject {
        val generated = stream.position - stream.firstPosition
        val promptTokens = PrefixCache.tokensOf(stream.prompt)
        put("id", identifier)
        put("object", if (chat) "chat.completion" else "text_completion")
        put("model", model)
        put("choices", buildJsonArray { add(choice(text, stream.answer.finishReason)) })
        putJsonObject("usage") {
            put("prompt_tokens", promptTokens)
            put("completion_tokens", generated)
            put("total_tokens", promptTokens + generated)
        }
        putJsonArray("spans") {
            stream.spans().forEach { span ->
                addJsonObject {
                    put("version", span.version?.let { JsonPrimitive(it) } ?: JsonNull)
                    put("tokens", span.tokens)
                }
            }
        }
    }

    private fun choice(text: String, finishReason: String): JsonObject = buildJsonObject {
        put("index", 0)
        if (chat) {
            putJsonObject("message") {
                put("role", "assistant")
                put("content", text)
            }
        } else {
            put("text", text)
        }
        put("finish_reason", finishReason)
    }
}
