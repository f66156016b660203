package org.zinniahoist.standin.client

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.HttpMethod
import kotlinx.serialization.encodeToString
import org.zinniahoist.standin.engine.AnswerCheck
import org.zinniahoist.standin.engine.ChatMessage
import org.zinniahoist.standin.engine.CompletionRequest
import org.zinniahoist.standin.http.callerJson
import java.net.URI
import java.util.concurrent.CompletableFuture

/** Client of the interface for live callers, which checks each answer. Requests go to the [entries] in turn. */
public class LiveCaller(
    entries: List<URI>,
    token: String,
    private val model: String,
    factory: ClientFactory = ClientFactory.ofDefault(),
) {
    private val client = EntryClient(entries, token, factory)

    /** Streams a completion of [prompt]. The future never fails. */
    public fun complete(
        prompt: String,
        maximumTokens: Int = 256,
        seed: Long = 0,
        headers: Map<String, String> = emptyMap(),
    ): CompletableFuture<LiveOutcome> {
        val request = CompletionRequest(model, prompt, stream = true, seed = seed, maximumTokens = maximumTokens)
        return stream("/v1/completions", request, headers)
    }

    /** Streams a chat completion of [messages]. The future never fails. */
    public fun chat(
        messages: List<ChatMessage>,
        maximumTokens: Int = 256,
        seed: Long = 0,
        headers: Map<String, String> = emptyMap(),
    ): CompletableFuture<LiveOutcome> {
        val request =
            CompletionRequest(
                model = model,
                messages = messages,
                stream = true,
                seed = seed,
                maximumTokens = maximumTokens,
            )
        return stream("/v1/chat/completions", request, headers)
    }

    /** Sends [body] to a plain service, with `Idempotency-Key` if [key] is given. The future never fails. */
    public fun post(
        service: String,
        path: String,
        body: String,
        key: String? = null,
        headers: Map<String, String> = emptyMap(),
    ): CompletableFuture<LiveOutcome> {
        val sentAt = System.nanoTime()
        val allHeaders = if (key == null) headers else headers + ("idempotency-key" to key)
        return client
            .send(HttpMethod.POST, "/services/$service/$path", body, allHeaders)
            .aggregate()
            .handle { response, cause ->
                when {
                    cause != null -> LiveOutcome.Broken(cause.toString(), "")
                    response.status().isSuccess ->
                        LiveOutcome.Served(response.status().code(), response.contentUtf8(), System.nanoTime() - sentAt)
                    else -> LiveOutcome.Refused(response.problem())
                }
            }
    }

    private fun stream(
        path: String,
        request: CompletionRequest,
        headers: Map<String, String>,
    ): CompletableFuture<LiveOutcome> {
        val reader = EventReader { text, tokens -> AnswerCheck.problem(request.fullPrompt, text, tokens) }
        client.send(HttpMethod.POST, path, callerJson.encodeToString(request), headers).subscribe(reader)
        return reader.outcome
    }
}
