package org.zinniahoist.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotBlank
import strikt.assertions.isNotEmpty
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readLines

class ExamplesTest {
    @Serializable
    private data class Prompt(
        val identifier: String,
        val prompt: String,
        @SerialName("maximum_tokens") val maximumTokens: Int,
    )

    @Serializable
    private data class Request(
        val service: String,
        val path: String,
        val key: String,
        val body: JsonObject,
    )

    // Unlike the stand-ins, it rejects unknown members, so that a misspelt one is found.
    private inline fun <reified T> read(directory: String): List<T> = Path
        .of("..", "examples", directory)
        .listDirectoryEntries("*.jsonl")
        .flatMap { it.readLines() }
        .map { Json.decodeFromString<T>(it) }

    /** Guards against prompts that cannot be read or told apart. */
    @Test
    fun `all prompts parse and have unique identifiers`() {
        val prompts = read<Prompt>("prompts")
        expectThat(prompts).isNotEmpty()
        expectThat(prompts.map { it.identifier }.distinct()).hasSize(prompts.size)
        expectThat(prompts.map { it.prompt }).all { isNotBlank() }
        expectThat(prompts.map { it.maximumTokens }).all { isGreaterThan(0) }
    }

    /** Guards against requests that cannot be read, or whose shared key makes one a repetition of the other. */
    @Test
    fun `all requests parse and have unique keys`() {
        val requests = read<Request>("requests")
        expectThat(requests).isNotEmpty()
        expectThat(requests.map { it.key }.distinct()).hasSize(requests.size)
        expectThat(requests.map { it.body }).all { isNotEmpty() }
        expectThat(requests.flatMap { listOf(it.service, it.path, it.key) }).all { isNotBlank() }
    }
}
