package org.zinniahoist.operator

import arrow.core.Either
import kotlinx.cli.ArgType
import kotlinx.cli.vararg
import kotlinx.serialization.Serializable

internal class ValidateCommand : ToolCommand("validate", "Check files of the settings tree without control") {
    private val files by argument(ArgType.String, "file", "INI files that together declare the tree").vararg()

    override fun perform(console: Console): Either<CommandFailure, Unit> = readTree(files).map { tree ->
        console.show(output, Validated.serializer(), Validated(tree.branches.size)) {
            "valid: ${tree.branches.size} branches"
        }
    }

    @Serializable
    private data class Validated(val branches: Int)
}
