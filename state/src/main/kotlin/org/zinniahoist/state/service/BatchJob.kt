@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.model.WorkspaceName
import org.zinniahoist.state.StateCodec

/** Identifier of a batch job, chosen by its trainer. */
@JvmInline
@Serializable
public value class JobIdentifier(public val value: String) {
    override fun toString(): String = value
}

/** A batch of requests that are submitted together and executed asynchronously. */
@Serializable
public data class BatchJob(
    public val identifier: JobIdentifier,
    public val host: String,
    /** Path of the submission, which selects the route of the job. */
    public val path: String,
    public val items: List<BatchItem>,
    /** Requirements of the trainer's step, or null if the job belongs to no step. */
    public val step: StepTerms? = null,
    /** Workspace that submitted the job, or null if callers needed no key for its route. */
    public val workspace: WorkspaceName? = null,
) {
    /** Estimated number of tokens of all items. */
    public val expectedTokens: Long by lazy(LazyThreadSafetyMode.PUBLICATION) {
        items.sumOf { it.estimatedTokens.toLong() }
    }
}

/** Requirements of a trainer's step on the samples of a job. */
@Serializable
public data class StepTerms(
    public val step: Long,
    public val model: ModelName,
    /** Oldest weight version that may generate tokens of the job. */
    public val minimumVersion: WeightVersion,
    /** Number of complete groups that the trainer waits for. */
    public val wantedGroups: Int,
)

/** One request of a [BatchJob]. */
@Serializable
public class BatchItem(
    public val identifier: RequestIdentifier,
    public val path: String,
    public val headers: List<HeaderField>,
    @ByteString public val body: ByteArray,
    /** Sum of the prompt tokens and the maximum number of output tokens. */
    public val tokens: Int,
    /** Number of output tokens that the client expects, or null if it gave none. */
    public val expectedTokens: Int? = null,
    /** Group of the item, or null; items of one group share their prompt. */
    public val group: String? = null,
    /** Request that scores the text of the item once it is complete, or null if the item needs no score. */
    public val reward: RewardRequest? = null,
    /** Prompt and output tokens as stated by the client, or null if it stated none. */
    public val counts: TokenCounts? = null,
) {
    /** Returns the item with other [headers]. */
    public fun withHeaders(headers: List<HeaderField>): BatchItem =
        BatchItem(identifier, path, headers, body, tokens, expectedTokens, group, reward, counts)

    /** Estimated number of tokens of the item. */
    public val estimatedTokens: Int get() = expectedTokens ?: tokens
}

/** Token counts of a [BatchItem]. */
@Serializable
public data class TokenCounts(
    public val prompt: Int,
    /** Maximum number of output tokens. */
    public val maximumOutput: Int,
)

/** A request header as sent by the client. */
@Serializable
public data class HeaderField(
    public val name: String,
    public val value: String,
)

/**
 * Result of one item.
 *
 * @property packedOutput data of all events in order. It is compressed once, when the result is created, because it is
 * sent across failure domains and held in several places.
 * @property versions weight versions that generated an event, in order of their first use.
 * @property score response to the item's [BatchItem.reward], or null if the item has none or is not completed.
 */
@Serializable
public class ItemResult private constructor(
    public val item: RequestIdentifier,
    public val isCompleted: Boolean,
    @ByteString private val packedOutput: ByteArray,
    public val versions: List<WeightVersion>,
    public val score: String? = null,
) {
    public constructor(
        item: RequestIdentifier,
        isCompleted: Boolean,
        output: String,
        versions: List<WeightVersion> = emptyList(),
        score: String? = null,
    ) : this(item, isCompleted, TextCompression.compress(output), versions, score)

    /** Data of all events in order. */
    public val output: String by lazy(LazyThreadSafetyMode.PUBLICATION) { TextCompression.decompress(packedOutput) }
}

/**
 * A recorded result without its output.
 *
 * The output stays in the encoded command that recorded the result and is shared with the log, so that it is held once.
 */
public class RecordedResult internal constructor(
    result: ItemResult,
    internal val command: ByteArray,
    internal val position: Int,
) {
    public val item: RequestIdentifier = result.item
    public val isCompleted: Boolean = result.isCompleted
    public val versions: List<WeightVersion> = result.versions

    /** Decodes the result with its output. */
    public fun whole(): ItemResult =
        (StateCodec.decode<ServiceCommand>(command) as ServiceCommand.RecordResults).results[position]
}
