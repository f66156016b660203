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

/** A sample whose label covers all its tokens. */
internal data class DraftedSample(
    val identifier: SampleIdentifier,
    val attempt: AttemptIdentifier,
    val text: String,
    val label: Label,
)

/** Collects the text and the label of a sample while it is drafted. */
internal class SampleDraft(private val onProgress: (tokens: Int, oldest: WeightVersion?) -> Unit) : AnswerSink {
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

    // What was received stays, as the next attempt continues after it.
    override fun onAttemptFailed(): Unit = Unit

    /** Returns the sample, or null if a token can't be attributed to a version. */
    fun finish(sample: SampleIdentifier, attempt: AttemptIdentifier): DraftedSample? =
        if (unattributed || deliveredTokens == 0 || label.tokens != deliveredTokens) {
            null
        } else {
            DraftedSample(sample, attempt, text.toString(), label)
        }

    companion object {
        private const val SEED_MASK = 0x1F_FFFF_FFFF_FFFFL

        /** Seed of [sample] in 53 bits, which JSON numbers hold exactly. */
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
