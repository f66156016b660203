package org.zinniahoist.operator

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.multiple
import org.zinniahoist.settings.DeclaredTree
import org.zinniahoist.settings.DeclaredTreeReader
import org.zinniahoist.settings.OfficeName
import org.zinniahoist.settings.OperatorName
import java.io.File
import java.io.IOException
import java.nio.file.Path

/** A command of the tool. */
@OptIn(ExperimentalCli::class)
internal abstract class ToolCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    val output: OutputForm by option(
        ArgType.Choice<OutputForm>(),
        "output",
        description = "Form of the output",
    ).default(OutputForm.TEXT)

    /** Called while the command line is parsed; the command runs in [perform]. */
    override fun execute() = Unit

    abstract fun perform(console: Console): Either<CommandFailure, Unit>

    protected fun readTree(files: List<String>): Either<CommandFailure, DeclaredTree> =
        DeclaredTreeReader.read(files.map { Path.of(it) })
            .mapLeft { faults -> CommandFailure.invalidFile(faults.joinToString("\n")) }
}

/** A command that calls control. */
internal abstract class ControlCommand(
    name: String,
    description: String,
) : ToolCommand(name, description) {
    private val control by option(
        ArgType.String,
        "control",
        description = "HTTP address host:port of a control replica, with https:// for TLS; repeatable",
    ).multiple()
    private val tokenFile by option(ArgType.String, "token-file", description = "File with the operator's token")
    private val trust by option(ArgType.String, "trust", description = "PEM file with certificates to trust")

    protected fun api(): Either<CommandFailure, ControlApi> = when {
        control.isEmpty() -> CommandFailure.usage(
            "--control is missing; allowed: host:port of a control replica",
        ).left()
        else -> http().map { ControlApi(it, control.map(::url)) }
    }

    protected fun http(): Either<CommandFailure, HttpAccess> =
        token().flatMap { token -> trustFile().map { HttpAccess(token, it) } }

    private fun token(): Either<CommandFailure, String?> {
        val file = tokenFile ?: return null.right()
        return try {
            File(file).readText().trim().right()
        } catch (failure: IOException) {
            CommandFailure.invalidFile("$file: can't be read: ${failure.message}").left()
        }
    }

    private fun trustFile(): Either<CommandFailure, File?> {
        val file = trust?.let(::File) ?: return null.right()
        return if (file.canRead()) file.right() else CommandFailure.invalidFile("$file: can't be read").left()
    }

    protected fun url(address: String): String = if ("://" in address) address else "http://$address"
}

/** A command that edits the settings tree. */
internal abstract class EditCommand(
    name: String,
    description: String,
) : ControlCommand(name, description) {
    private val operator by option(ArgType.String, "operator", description = "Name of the operator")
        .default(System.getProperty("user.name").orEmpty())
    private val office by option(
        ArgType.String,
        "office",
        description = "Office of the operator; edits of other offices are refused; repeatable",
    ).multiple()

    protected val operatorName: OperatorName get() = OperatorName(operator)
    protected val offices: Set<OfficeName> get() = office.map(::OfficeName).toSet()
}
