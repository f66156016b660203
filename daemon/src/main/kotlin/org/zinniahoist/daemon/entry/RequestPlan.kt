package org.zinniahoist.daemon.entry

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.zinniahoist.model.Moment
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.wire.IdempotencyTerms
import org.zinniahoist.wire.RequestOrigin
import org.zinniahoist.wire.UpstreamCall
import java.nio.ByteBuffer
import java.security.MessageDigest

/** A validated request with everything that its attempts need. */
internal class RequestPlan(
    val request: RequestIdentifier,
    val target: RouteTarget,
    val call: UpstreamCall,
    val origin: RequestOrigin,
    val deadline: Moment,
    /** Whether the request can be retried after an attempt that may have run. */
    val idempotent: Boolean,
    val idempotency: IdempotencyTerms? = null,
    /** Completion body from which another sidecar can resume the response, or null if it can't be resumed. */
    val completion: JsonObject? = null,
    val prefixHash: Long? = null,
    val traceParent: String? = null,
) {
    val fingerprint: Long = ByteBuffer.wrap(digest(call)).getLong()

    /** Returns the call that resumes the response after [tokens] tokens. */
    fun callFrom(tokens: Int): UpstreamCall {
        if (tokens == 0 || completion == null) return call
        val body = JsonObject(completion + ("resume_tokens" to JsonPrimitive(tokens)))
        return UpstreamCall(call.method, call.path, call.contentType, Json.encodeToString(body).toByteArray())
    }

    /** Returns a copy for a model request, with the [completion] to resume and the [prefixHash] of its prompt. */
    fun copyWith(completion: JsonObject?, prefixHash: Long?): RequestPlan = RequestPlan(
        request,
        target,
        call,
        origin,
        deadline,
        idempotent,
        idempotency,
        completion,
        prefixHash,
        traceParent,
    )

    companion object {
        /** Returns the SHA-256 digest of method, path and body. */
        fun digest(call: UpstreamCall): ByteArray = MessageDigest.getInstance("SHA-256").run {
            update("${call.method} ${call.path}\n".toByteArray())
            digest(call.body)
        }

        /** Returns a hash of the first [length] bytes of [prompt], the part that engines are likely to have cached. */
        fun prefixHash(prompt: String, length: Int): Long {
            val bytes = prompt.toByteArray().let { it.copyOf(minOf(it.size, length)) }
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong()
        }
    }
}
