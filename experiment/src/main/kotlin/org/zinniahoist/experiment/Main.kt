package org.zinniahoist.experiment

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.zinniahoist.experiment.quickstart.QuickstartCommand
import org.zinniahoist.experiment.slopes.SlopesCommand
import org.zinniahoist.experiment.virtual.DecisionCostCommand
import org.zinniahoist.experiment.virtual.VirtualCommand

/** Dispatches the sub-commands of the experiment tool. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    val parser = ArgParser("experiment")
    parser.subcommands(QuickstartCommand(), VirtualCommand(), DecisionCostCommand(), SlopesCommand())
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
}
