@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.state.StateCodec

/** Identifier of a batch job, chosen by its trainer. */
@JvmInline
@Serializable
public value class JobIdentifier(public val value: String) {
    override fun toString(): String = value
}

/** Many requests that are submitted together and run later. */
@Serializable
public data class BatchJob(
    public val identifier: JobIdentifier,
    public val host: String,
    /** Path of the submission; the route of the job is found by it. */
    public val path: String,
    public val items: List<BatchItem>,
    /** Set if a trainer's step stands behind the job. */
    public val step: StepTerms? = null,
) {
    /** Tokens by which the work of all items is estimated. */
    public val expectedTokens: Long by lazy(LazyThreadSafetyMode.PUBLICATION) {
        items.sumOf { it.tokensToExpect.toLong() }
    }
}

/** What a trainer's step asks of the samples of a job. */
@Serializable
public data class StepTerms(
    public val step: Long,
    public val model: ModelName,
    /** Oldest weights that may generate tokens of the job. */
    public val minimumVersion: WeightVersion,
    /** Complete groups that the trainer waits for. */
    public val wantedGroups: Int,
)

/** One request of a [BatchJob]. */
@Serializable
public class BatchItem(
    public val identifier: RequestIdentifier,
    public val path: String,
    public val headers: List<HeaderField>,
    @ByteString public val body: ByteArray,
    /** Prompt tokens and the largest number of output tokens together. */
    public val tokens: Int,
    /** Output tokens that the client expects, or null. */
    public val expectedTokens: Int? = null,
    /** Items with the same group share their prompt. */
    public val group: String? = null,
) {
    /** Tokens by which the work of the item is estimated. */
    public val tokensToExpect: Int get() = expectedTokens ?: tokens
}

/** A header of a request as the client sent it. */
@Serializable
public data class HeaderField(
    public val name: String,
    public val value: String,
)

/**
 * Outcome of one item at its position in the list of results.
 *
 * @property packedOutput data of all events in order, compressed once where the result is made: it crosses failure
 * domains and is kept several times.
 * @property versions all versions that generated an event, in order of their first use.
 */
@Serializable
public class ItemResult private constructor(
    public val item: RequestIdentifier,
    public val isCompleted: Boolean,
    @ByteString private val packedOutput: ByteArray,
    public val versions: List<WeightVersion>,
) {
    public constructor(
        item: RequestIdentifier,
        isCompleted: Boolean,
        output: String,
        versions: List<WeightVersion> = emptyList(),
    ) : this(item, isCompleted, TextCompression.pack(output), versions)

    /** Data of all events in order. */
    public val output: String by lazy(LazyThreadSafetyMode.PUBLICATION) { TextCompression.expand(packedOutput) }
}

/**
 * A result that is listed, without its output: this stays in the bytes of the command that listed it, which the log
 * holds as well.
 */
public class ListedResult internal constructor(
    result: ItemResult,
    internal val command: ByteArray,
    internal val position: Int,
) {
    public val item: RequestIdentifier = result.item
    public val isCompleted: Boolean = result.isCompleted
    public val versions: List<WeightVersion> = result.versions

    /** Reads the whole result. */
    public fun whole(): ItemResult =
        (StateCodec.decode<ServiceCommand>(command) as ServiceCommand.RecordResults).results[position]
}
