@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec

/**
 * Events of an item that is not finished, which follow those recorded before.
 *
 * @property text identifies the text that the events belong to. An item whose text is dropped and made anew gets
 * another identifier, so that events of two texts are never joined.
 * @property after number of the last event that is recorded already, or null if the text begins here.
 * @property lastNumber number of the last event of this part.
 * @property packedEvents data of the events, compressed.
 * @property versions all versions that generated an event of the text up to here, in order of their first use.
 */
@Serializable
public class TextPart private constructor(
    public val item: RequestIdentifier,
    public val text: Long,
    public val after: Long?,
    public val lastNumber: Long,
    @ByteString private val packedEvents: ByteArray,
    public val versions: List<WeightVersion>,
) {
    public constructor(
        item: RequestIdentifier,
        text: Long,
        after: Long?,
        lastNumber: Long,
        events: List<String>,
        versions: List<WeightVersion>,
    ) : this(item, text, after, lastNumber, TextCompression.packBytes(StateCodec.encode(events)), versions)

    internal val bytes: Int get() = packedEvents.size

    /** Data of the events of this part, in order. */
    public fun events(): List<String> = StateCodec.decode(TextCompression.expandBytes(packedEvents))
}

/** The text of an unfinished item, as far as it is recorded. */
public class RecordedText internal constructor(internal val parts: List<TextPart>) {
    /** Identifies the text; see [TextPart.text]. */
    public val identifier: Long get() = parts.last().text

    /** Number of the last event. */
    public val lastNumber: Long get() = parts.last().lastNumber

    /** All versions that generated an event, in order of their first use. */
    public val versions: List<WeightVersion> get() = parts.last().versions

    /** Bytes of the text as it is kept. */
    public val bytes: Long get() = parts.sumOf { it.bytes.toLong() }

    /** Data of all events, in order. */
    public fun events(): List<String> = parts.flatMap { it.events() }

    /** Returns the text with [part], or null if the part does not follow it. */
    internal fun plus(part: TextPart): RecordedText? =
        if (part.text == identifier && part.after == lastNumber) RecordedText(parts + part) else null
}
