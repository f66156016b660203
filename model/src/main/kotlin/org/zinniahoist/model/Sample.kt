package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Identifier of one sample within a trainer's step. */
@Serializable
public data class SampleIdentifier(
    public val trainer: TrainerName,
    public val step: StepNumber,
    public val group: Int,
    public val index: Int,
) {
    override fun toString(): String = "${trainer.value}/${step.value}/$group/$index"

    public companion object {
        private const val COMPONENTS = 4

        /** Parses the format that [toString] produces. Returns null if [text] is malformed. */
        public fun parse(text: String): SampleIdentifier? {
            val parts = text.split('/')
            if (parts.size != COMPONENTS) return null
            val step = parts[1].toLongOrNull() ?: return null
            val group = parts[2].toIntOrNull() ?: return null
            val index = parts[3].toIntOrNull() ?: return null
            return SampleIdentifier(TrainerName(parts[0]), StepNumber(step), group, index)
        }
    }
}

/** A prompt and the number of samples that the trainer requests for it. */
@Serializable
public data class Group(
    public val prompt: String,
    public val samples: Int,
    public val maximumTokens: Int = 1_024,
)

/** Training step: all groups whose samples a trainer needs before it can update its weights. */
@Serializable
public data class Step(
    public val trainer: TrainerName,
    public val number: StepNumber,
    public val groups: List<Group>,
) {
    /** Total number of samples in all groups. */
    public val sampleCount: Int get() = groups.sumOf { it.samples }
}
