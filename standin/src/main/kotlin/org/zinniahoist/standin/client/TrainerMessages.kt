package org.zinniahoist.standin.client

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.zinniahoist.standin.engine.VersionSpan

/** A group of a step as a trainer submits it. */
@Serializable
public data class TrainerGroup(
    public val prompt: String,
    public val samples: Int,
    @SerialName("maximum_tokens") public val maximumTokens: Int = 256,
)

/** Body of `PUT /v1/trainers/{trainer}/steps/{step}`. */
@Serializable
internal data class StepSubmission(val groups: List<TrainerGroup>)

/** A sample as a trainer receives it. */
@Serializable
public data class DeliveredSample(
    public val identifier: String,
    public val attempt: String = "",
    public val text: String,
    public val tokens: Int,
    public val spans: List<VersionSpan>,
)

/** Answer of `GET /v1/trainers/{trainer}/samples`. [remaining] counts the samples that are not yet acknowledged. */
@Serializable
public data class SamplePage(
    public val samples: List<DeliveredSample>,
    public val cursor: String = "",
    public val remaining: Int = 0,
)

@Serializable
internal data class Acknowledgement(val samples: List<String>)

@Serializable
internal data class TrainerVersion(val version: Long)
