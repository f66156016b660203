package org.zinniahoist.daemon.sidecar

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.zinniahoist.model.Label
import org.zinniahoist.model.WeightVersion
import java.io.ByteArrayOutputStream

/** A part of an answer as it is sent to the entry. */
internal class AnswerPiece(
    val bytes: ByteArray,
    val tokens: Int = 0,
    val version: WeightVersion? = null,
)

/** Turns the body of an upstream's answer into pieces and learns the label from it. */
internal interface AnswerDecoder {
    /** The versions of the answer so far. Empty if a part of the answer names no version. */
    val label: Label

    fun accept(bytes: ByteArray): List<AnswerPiece>

    /** Returns whether the answer is whole, once the body has ended. */
    fun finish(): Boolean

    companion object {
        /** Returns the decoder for the answer of an engine or of a plain service. */
        fun of(isEngine: Boolean, contentType: String): AnswerDecoder = when {
            !isEngine -> PieceDecoder()
            contentType.startsWith("text/event-stream") -> EventDecoder()
            else -> WholeDecoder()
        }

        val json: Json = Json { ignoreUnknownKeys = true }
    }
}

/** Cuts a body into pieces that fit into a frame. */
internal class PieceDecoder : AnswerDecoder {
    override val label: Label = Label()

    override fun accept(bytes: ByteArray): List<AnswerPiece> = (bytes.indices step MAXIMUM_PIECE).map { from ->
        val piece = if (bytes.size <=
            MAXIMUM_PIECE
        ) {
            bytes
        } else {
            bytes.copyOfRange(from, minOf(from + MAXIMUM_PIECE, bytes.size))
        }
        AnswerPiece(piece)
    }

    override fun finish(): Boolean = true

    private companion object {
        const val MAXIMUM_PIECE = 64 * 1_024
    }
}

/** Reads server-sent events in the format of completions. */
internal class EventDecoder : AnswerDecoder {
    private val parser = EventStreamParser()
    private val spans = SpanCollector()
    private var isDone = false

    override val label: Label get() = spans.label

    override fun accept(bytes: ByteArray): List<AnswerPiece> {
        if (isDone) return emptyList()
        return parser.accept(bytes).mapNotNull(::decode)
    }

    override fun finish(): Boolean = isDone

    private fun decode(event: String): AnswerPiece? {
        if (event.trim() == DONE) isDone = true
        if (isDone) return null
        val chunk = parse(event)
        val version = chunk.version?.let(::WeightVersion)
        spans.add(version, chunk.tokens)
        return AnswerPiece(event.encodeToByteArray(), chunk.tokens, version)
    }

    private fun parse(event: String): ChunkFields = try {
        AnswerDecoder.json.decodeFromString<ChunkFields>(event)
    } catch (_: SerializationException) {
        ChunkFields()
    }

    private companion object {
        const val DONE = "[DONE]"
    }
}

/** Reads an engine's answer that is not streamed. */
internal class WholeDecoder : AnswerDecoder {
    private val pieces = PieceDecoder()
    private val body = ByteArrayOutputStream()

    override val label: Label by lazy(::readLabel)

    override fun accept(bytes: ByteArray): List<AnswerPiece> {
        if (body.size() + bytes.size <= MAXIMUM_BODY) body.write(bytes)
        return pieces.accept(bytes)
    }

    override fun finish(): Boolean = true

    private fun readLabel(): Label = try {
        val spans = SpanCollector()
        val fields = AnswerDecoder.json.decodeFromString<WholeFields>(body.toString(Charsets.UTF_8))
        fields.spans.forEach { spans.add(it.version?.let(::WeightVersion), it.tokens) }
        spans.label
    } catch (_: SerializationException) {
        Label()
    }

    private companion object {
        const val MAXIMUM_BODY = 4 * 1_024 * 1_024
    }
}

/** Collects spans. Without a version for some tokens there is no label, so that a part never passes for the whole. */
internal class SpanCollector {
    private var known = Label()
    private var isAttributed = true

    val label: Label get() = if (isAttributed) known else Label()

    fun add(version: WeightVersion?, tokens: Int) {
        if (tokens <= 0) return
        if (version == null) isAttributed = false else known = known.append(version, tokens)
    }
}

@Serializable
internal class ChunkFields(
    @SerialName("weight_version") val version: Long? = null,
    val tokens: Int = 0,
)

@Serializable
internal class WholeFields(val spans: List<SpanFields> = emptyList())

@Serializable
internal class SpanFields(
    val version: Long? = null,
    val tokens: Int = 0,
)
