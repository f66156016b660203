@file:OptIn(ExperimentalSerializationApi::class)

package org.zinniahoist.state.service

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.zinniahoist.model.ModelName
import org.zinniahoist.model.RequestIdentifier
import org.zinniahoist.model.WeightVersion

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
)

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
)

/** A header of a request as the client sent it. */
@Serializable
public data class HeaderField(
    public val name: String,
    public val value: String,
)

/** Outcome of one item at its position in the list of results. */
@Serializable
public data class ItemResult(
    public val item: RequestIdentifier,
    public val isCompleted: Boolean,
    /** Data of all events in order. */
    public val output: String,
    /** All versions that generated an event of [output], in order of their first use. */
    public val versions: List<WeightVersion> = emptyList(),
)
