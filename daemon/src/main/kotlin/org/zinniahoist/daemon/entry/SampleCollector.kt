package org.zinniahoist.daemon.entry

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.zinniahoist.model.AttemptIdentifier
import org.zinniahoist.model.Label
import org.zinniahoist.model.SampleIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.wire.AttemptMessage
import java.nio.ByteBuffer
import java.security.MessageDigest

/** A complete sample whose label attributes each token to a weight version. */
internal data class GeneratedSample(
    val identifier: SampleIdentifier,
    val attempt: AttemptIdentifier,
    val text: String,
    val label: Label,
)

/** Collects the text and the label of a sample during generation. */
internal class SampleCollector(private val onProgress: (tokens: Int, oldest: WeightVersion?) -> Unit) : ResponseSink {
    private val text = StringBuilder()
    private var unattributed = false
    var label: Label = Label()
        private set

    override var deliveredTokens: Int = 0
        private set
    override val canContinue: Boolean get() = !unattributed

    override suspend fun onChunk(chunk: AttemptMessage.AttemptChunk) {
        val piece = textOf(chunk.bytes)
        val version = chunk.version
        if (piece == null || (chunk.tokens > 0 && version == null)) unattributed = true
        text.append(piece.orEmpty())
        deliveredTokens += chunk.tokens
        if (version != null) label = label.append(version, chunk.tokens)
        onProgress(deliveredTokens, label.oldest)
    }

    // Keeps the received tokens, as the next attempt resumes after them.
    override fun onAttemptFailed(): Unit = Unit

    /** Returns the sample, or null if it has no tokens or a token can't be attributed to a weight version. */
    fun finish(sample: SampleIdentifier, attempt: AttemptIdentifier): GeneratedSample? =
        if (unattributed || deliveredTokens == 0 || label.tokens != deliveredTokens) {
            null
        } else {
            GeneratedSample(sample, attempt, text.toString(), label)
        }

    companion object {
        private const val SEED_MASK = 0x1F_FFFF_FFFF_FFFFL

        /** Derives the seed of [sample]. It has 53 bits, the range in which JSON numbers are exact. */
        fun seed(sample: SampleIdentifier): Long {
            val digest = MessageDigest.getInstance("SHA-256").digest(sample.toString().toByteArray())
            return ByteBuffer.wrap(digest).getLong() and SEED_MASK
        }

        private fun textOf(event: ByteArray): String? {
            val choices = CompletionBody.parseObject(event)?.get("choices") as? JsonArray ?: return null
            val choice = choices.firstOrNull() ?: return ""
            val text = (choice as? JsonObject)?.get("text") ?: return null
            return (text as? JsonPrimitive)?.takeIf { it.isString }?.content
        }
    }
}
