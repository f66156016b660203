package org.zinniahoist.daemon.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import org.zinniahoist.model.ModelName
import java.nio.charset.CharacterCodingException

/** Parsed body of a completion request with the fields that the entry reads. */
internal class CompletionBody(
    val content: JsonObject,
    val model: ModelName,
    val streams: Boolean,
    val prompt: String,
) {
    companion object {
        /** Parses [bytes], or returns an error text for the caller. [promptKey] names the field with the prompt. */
        fun read(bytes: ByteArray, promptKey: String): Either<String, CompletionBody> {
            val content = parseObject(bytes) ?: return "the body is no JSON object".left()
            val model = content["model"] as? JsonPrimitive
            val stream = content["stream"] ?: JsonPrimitive(false)
            val streams = (stream as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
            val prompt = content[promptKey]
            return when {
                model == null || !model.isString -> "model is missing or no string".left()
                streams == null -> "stream is no boolean".left()
                prompt == null -> "$promptKey is missing".left()
                "resume_tokens" in content -> "resume_tokens is set by the service".left()
                else -> {
                    val text = (prompt as? JsonPrimitive)?.contentOrNull ?: prompt.toString()
                    CompletionBody(content, ModelName(model.content), streams, text).right()
                }
            }
        }

        /** Parses [bytes] as a JSON object, or returns null if they are not one. */
        fun parseObject(bytes: ByteArray): JsonObject? = try {
            Json.parseToJsonElement(bytes.decodeToString(throwOnInvalidSequence = true)) as? JsonObject
        } catch (_: IllegalArgumentException) {
            null
        } catch (_: CharacterCodingException) {
            null
        } catch (_: StackOverflowError) {
            // The parser is recursive, so deeply nested input overflows the stack.
            null
        }
    }
}
