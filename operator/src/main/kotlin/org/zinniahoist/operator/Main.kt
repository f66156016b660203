package org.zinniahoist.operator

import java.io.PrintStream
import kotlin.system.exitProcess

/** Runs `zinniahoistctl`. */
public fun main(arguments: Array<String>) {
    exitProcess(runTool(arguments.toList(), System.out, System.err).number)
}

/**
 * Runs the tool with [arguments]; the result goes to [out], progress and failures to [error].
 *
 * @param pause waits for a number of milliseconds.
 */
public fun runTool(
    arguments: List<String>,
    out: PrintStream,
    error: PrintStream,
    pause: (milliseconds: Long) -> Unit = Thread::sleep,
): ExitCode = CommandLine(Console(out, error, pause)).run(arguments)
