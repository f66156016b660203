package org.zinniahoist.daemon.entry

import org.zinniahoist.model.Verdict
import org.zinniahoist.wire.AttemptMessage
import java.io.ByteArrayOutputStream

/** Buffers the chunks of an attempt until the response is complete, so that a retry can start from scratch. */
internal class BufferedResponse : ResponseSink {
    private val body = ByteArrayOutputStream()

    override val deliveredTokens: Int get() = 0
    override val canContinue: Boolean get() = true
    val bytes: ByteArray get() = body.toByteArray()

    override suspend fun onChunk(chunk: AttemptMessage.AttemptChunk) {
        check(body.size() + chunk.bytes.size <= MAXIMUM_BYTES) { "response exceeds the limit of $MAXIMUM_BYTES bytes" }
        body.writeBytes(chunk.bytes)
    }

    override fun onAttemptFailed() = body.reset()

    private companion object {
        /** 64 MiB. Bounds the memory that one response takes, as it is buffered until it is complete. */
        const val MAXIMUM_BYTES = 64 * 1_024 * 1_024
    }
}

/**
 * Forwards events to the caller as they arrive.
 *
 * @param resumable whether another attempt can continue a stream that the caller has partly received.
 */
internal class StreamedResponse(
    private val exchange: Exchange,
    private val resumable: Boolean,
) : ResponseSink {
    // An engine that rejects a request sends chunks without tokens. They are buffered until the first token or the
    // end of the attempt, because only the end carries the HTTP status.
    private val buffered = mutableListOf<ByteArray>()
    private var open = false

    override var deliveredTokens: Int = 0
        private set
    override val canContinue: Boolean get() = !open || resumable

    override suspend fun onChunk(chunk: AttemptMessage.AttemptChunk) {
        if (!open && chunk.tokens == 0) {
            buffered += chunk.bytes
            return
        }
        openWithHeld()
        exchange.event(chunk.bytes)
        deliveredTokens += chunk.tokens
    }

    override fun onAttemptFailed() = buffered.clear()

    suspend fun finish(end: AttemptEvent.Ended) {
        val answered = end.verdict is Verdict.Completed && end.status < FIRST_ERROR_STATUS
        when {
            answered -> {
                openWithHeld()
                exchange.event(DONE)
                exchange.closeStream()
            }

            open -> {
                exchange.event(Problem(end.verdict, exchange.request).toJson().toByteArray(), "error")
                exchange.closeStream()
            }

            end.verdict is Verdict.Completed -> exchange.respond(end.status, end.contentType, joined())
            else -> exchange.respond(Problem(end.verdict, exchange.request, end.retryAfter))
        }
    }

    private suspend fun openWithHeld() {
        if (open) return
        open = true
        exchange.openStream()
        buffered.forEach { exchange.event(it) }
        buffered.clear()
    }

    private fun joined(): ByteArray = buffered.fold(ByteArray(0), ByteArray::plus)

    private companion object {
        const val FIRST_ERROR_STATUS = 400
        val DONE = "[DONE]".toByteArray()
    }
}
