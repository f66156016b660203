package org.zinniahoist.experiment.quickstart

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.nio.file.Files
import java.nio.file.Path

/** Prompts of the trainer and requests of live callers. */
internal class QuickstartInput(
    val prompts: List<Prompt>,
    val confirmations: List<Confirmation>,
) {
    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        fun read(prompts: Path, confirmations: Path) = QuickstartInput(
            Files.readAllLines(prompts).map { json.decodeFromString<Prompt>(it) },
            Files.readAllLines(confirmations).map { json.decodeFromString<Confirmation>(it) },
        )
    }
}

@Serializable
internal data class Prompt(
    val prompt: String,
    @SerialName("maximum_tokens") val maximumTokens: Int,
)

@Serializable
internal data class Confirmation(
    val service: String,
    val path: String,
    val key: String,
    val body: JsonElement,
)

/** Size of the run. */
internal data class QuickstartPlan(
    val steps: Int,
    val groupsPerStep: Int,
    val samplesPerGroup: Int,
)
