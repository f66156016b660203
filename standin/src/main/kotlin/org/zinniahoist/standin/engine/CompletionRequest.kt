package org.zinniahoist.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of `POST /v1/completions` and `POST /v1/chat/completions`. */
@Serializable
internal data class CompletionRequest(
    val model: String,
    val prompt: String? = null,
    val messages: List<ChatMessage> = emptyList(),
    val stream: Boolean = false,
    val seed: Long = 0,
    @SerialName("max_tokens") val maximumTokens: Int? = null,
    @SerialName("resume_tokens") val resumeTokens: Int = 0,
    @SerialName("kv_handle") val kvHandle: String? = null,
    @SerialName("request_id") val requestIdentifier: String? = null,
) {
    /** The text that the answer depends on. */
    val fullPrompt: String get() = prompt ?: ChatMessage.promptOf(messages)
}

/** A message of a chat completion. */
@Serializable
public data class ChatMessage(
    public val role: String,
    public val content: String,
) {
    public companion object {
        /** Returns the prompt to which the answer to a chat of [messages] belongs. */
        public fun promptOf(messages: List<ChatMessage>): String =
            messages.joinToString("\n") { "${it.role}: ${it.content}" }
    }
}

/** A number of tokens that [version] produced; the version is null while it is unknown. */
@Serializable
public data class VersionSpan(
    public val version: Long?,
    public val tokens: Int,
)

/** Adds [tokens] tokens of [version] to the end of these spans. */
internal fun MutableList<VersionSpan>.append(version: Long?, tokens: Int) {
    val last = lastOrNull()
    if (last != null && last.version == version) {
        this[lastIndex] = last.copy(tokens = last.tokens + tokens)
    } else {
        add(VersionSpan(version, tokens))
    }
}
