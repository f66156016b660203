package org.zinniahoist.operator

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.apache.commons.text.similarity.LevenshteinDistance

/** Parses the command line and runs the command that it names. */
@OptIn(ExperimentalCli::class)
internal class CommandLine(private val console: Console) {
    private val commands: List<ToolCommand> = listOf(
        ValidateCommand(),
        PlanCommand(),
        ApplyCommand(),
        ShowCommand(),
        HistoryCommand(),
        DiffCommand(),
        RevertCommand(),
        StatusCommand(),
        DrainCommand(),
        PublishCommand(),
        WithdrawCommand(),
        TimelineCommand(),
        StorageCommand(),
    )

    fun run(arguments: List<String>): ExitCode {
        val first = arguments.firstOrNull()
        if (first == "--version") {
            console.print("$NAME ${CommandLine::class.java.`package`.implementationVersion ?: "development"}")
            return ExitCode.SUCCESS
        }
        if (first == null || first == "--help" || first == "-h") return overview(first != null)
        val command = commands.find { it.name == first }
        if (command == null) {
            val near = commands.map { it.name }.minBy { LevenshteinDistance.getDefaultInstance().apply(first, it) }
            val distance = LevenshteinDistance.getDefaultInstance().apply(first, near)
            val suggestion = if (distance <= MAXIMUM_DISTANCE) "; did you mean '$near'?" else ""
            console.note("unknown command '$first'$suggestion\n'$NAME --help' lists the commands")
            return ExitCode.USAGE
        }
        return run(command, arguments)
    }

    private fun overview(requested: Boolean): ExitCode {
        val width = commands.maxOf { it.name.length }
        val lines = commands.joinToString("\n") { "  ${it.name.padEnd(width)}  ${it.actionDescription}" }
        val text = "usage: $NAME <command> [options]\n$NAME --version\n$NAME <command> --help\n\ncommands:\n$lines"
        if (requested) console.print(text) else console.note(text)
        return if (requested) ExitCode.SUCCESS else ExitCode.USAGE
    }

    private fun run(command: ToolCommand, arguments: List<String>): ExitCode {
        val parser = ArgParser(NAME)
        parser.subcommands(command)
        listOf(parser, command).forEach(::endWithoutExit)
        try {
            parser.parse(arguments.toTypedArray())
        } catch (end: ParsingEnded) {
            if (end.exitCode == 0) console.print(end.text) else console.note(end.text)
            return if (end.exitCode == 0) ExitCode.SUCCESS else ExitCode.USAGE
        }
        return command.perform(console).fold(
            {
                console.note(it.message)
                it.exitCode
            },
            { ExitCode.SUCCESS },
        )
    }

    /**
     * Lets [parser] end by [ParsingEnded] rather than the end of the process with exit code 127.
     *
     * The property has no public setter in kotlinx-cli 0.3.6.
     */
    private fun endWithoutExit(parser: ArgParser) {
        val end: (String, Int) -> Nothing = { text, exitCode -> throw ParsingEnded(text, exitCode) }
        ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java)
            .invoke(parser, end)
    }

    private class ParsingEnded(
        val text: String,
        val exitCode: Int,
    ) : Exception(text)

    private companion object {
        const val NAME = "zinniahoistctl"

        /** At a larger distance, suggestions are unrelated words. */
        const val MAXIMUM_DISTANCE = 3
    }
}
