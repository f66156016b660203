package org.zinniahoist.operator

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import java.io.PrintStream

/** Form of the output. */
internal enum class OutputForm { TEXT, JSON }

/** Where a command writes, and how it waits. */
internal class Console(
    private val out: PrintStream,
    private val error: PrintStream,
    private val pause: (milliseconds: Long) -> Unit,
) {
    /** Writes [value] for programs or [text] for people. */
    fun <T> show(
        form: OutputForm,
        serializer: KSerializer<T>,
        value: T,
        text: () -> String,
    ) = when (form) {
        OutputForm.JSON -> out.println(JSON.encodeToString(serializer, value))
        OutputForm.TEXT -> out.print(text().let { if (it.isEmpty() || it.endsWith("\n")) it else "$it\n" })
    }

    fun print(text: String) = out.println(text)

    /** Writes progress and failures, which are no part of the result. */
    fun note(text: String) = error.println(text)

    fun waitFor(milliseconds: Long) = pause(milliseconds)

    private companion object {
        val JSON = Json { encodeDefaults = true }
    }
}
