@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec

/**
 * A part of the output text of an unfinished item: the events that follow those recorded before.
 *
 * @property text identifier of the text that the events belong to. If the text of an item is discarded and generated
 * again, the new text has another identifier, so that events of two texts are never concatenated.
 * @property after number of the last event recorded before this part, or null if this is the first part of the text.
 * @property lastNumber number of the last event of this part.
 * @property packedEvents compressed data of the events.
 * @property versions weight versions that generated the text up to this part, in order of their first use.
 * @property isLast true if this part completes the text, which then waits for its score only.
 */
@Serializable
public class TextPart private constructor(
    public val item: RequestIdentifier,
    public val text: Long,
    public val after: Long?,
    public val lastNumber: Long,
    @ByteString private val packedEvents: ByteArray,
    public val versions: List<WeightVersion>,
    public val isLast: Boolean = false,
) {
    public constructor(
        item: RequestIdentifier,
        text: Long,
        after: Long?,
        lastNumber: Long,
        events: List<String>,
        versions: List<WeightVersion>,
        isLast: Boolean = false,
    ) : this(item, text, after, lastNumber, TextCompression.compressBytes(StateCodec.encode(events)), versions, isLast)

    internal val bytes: Int get() = packedEvents.size

    /** Decodes the data of the events of this part, in order. */
    public fun events(): List<String> = StateCodec.decode(TextCompression.decompressBytes(packedEvents))
}

/** The recorded prefix of the output text of an unfinished item, or its whole text while the score is missing. */
public class RecordedText internal constructor(internal val parts: List<TextPart>) {
    /** Identifier of the text; see [TextPart.text]. */
    public val identifier: Long get() = parts.last().text

    /** Number of the last recorded event. */
    public val lastNumber: Long get() = parts.last().lastNumber

    /** Weight versions that generated an event, in order of their first use. */
    public val versions: List<WeightVersion> get() = parts.last().versions

    /** True if the text is complete and only its score is missing. */
    public val isComplete: Boolean get() = parts.last().isLast

    /** Compressed size of the text in bytes. */
    public val bytes: Long get() = parts.sumOf { it.bytes.toLong() }

    /** Decodes the data of all events, in order. */
    public fun events(): List<String> = parts.flatMap { it.events() }

    /** Returns the text extended by [part], or null if the part belongs to another text or leaves a gap. */
    internal fun plus(part: TextPart): RecordedText? =
        if (part.text == identifier && part.after == lastNumber) RecordedText(parts + part) else null
}
