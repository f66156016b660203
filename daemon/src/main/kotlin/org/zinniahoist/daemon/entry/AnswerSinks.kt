package org.zinniahoist.daemon.entry

import org.zinniahoist.model.Verdict
import org.zinniahoist.wire.AttemptMessage
import java.io.ByteArrayOutputStream

/** Keeps the chunks of one attempt until the answer is whole. */
internal class WholeAnswer : AnswerSink {
    private val body = ByteArrayOutputStream()

    override val deliveredTokens: Int get() = 0
    override val canContinue: Boolean get() = true
    val bytes: ByteArray get() = body.toByteArray()

    override suspend fun onChunk(chunk: AttemptMessage.AttemptChunk) {
        check(body.size() + chunk.bytes.size <= MAXIMUM_BYTES) { "the answer exceeds $MAXIMUM_BYTES bytes" }
        body.writeBytes(chunk.bytes)
    }

    override fun onAttemptFailed() = body.reset()

    private companion object {
        /** 64 MiB: an answer that is not streamed is held in memory until it is whole. */
        const val MAXIMUM_BYTES = 64 * 1_024 * 1_024
    }
}

/** Passes events on to the caller as they come. */
internal class StreamedAnswer(
    private val exchange: Exchange,
    private val resumable: Boolean,
) : AnswerSink {
    // An engine that refuses a request sends chunks without tokens. They are held back, as the status comes last.
    private val held = mutableListOf<ByteArray>()
    private var open = false

    override var deliveredTokens: Int = 0
        private set
    override val canContinue: Boolean get() = !open || resumable

    override suspend fun onChunk(chunk: AttemptMessage.AttemptChunk) {
        if (!open && chunk.tokens == 0) {
            held += chunk.bytes
            return
        }
        openWithHeld()
        exchange.event(chunk.bytes)
        deliveredTokens += chunk.tokens
    }

    override fun onAttemptFailed() = held.clear()

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
        held.forEach { exchange.event(it) }
        held.clear()
    }

    private fun joined(): ByteArray = held.fold(ByteArray(0), ByteArray::plus)

    private companion object {
        const val FIRST_ERROR_STATUS = 400
        val DONE = "[DONE]".toByteArray()
    }
}
