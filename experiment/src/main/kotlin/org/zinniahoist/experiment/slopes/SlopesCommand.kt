package org.zinniahoist.experiment.slopes

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import java.lang.management.ManagementFactory
import java.util.Locale

/** Measures the costs of single messages, commands and decisions, from which `docs/CAPACITY.md` computes its sums. */
@OptIn(ExperimentalCli::class)
internal class SlopesCommand : Subcommand("slopes", "Measure bytes, processor time and memory of single operations") {
    override fun execute() {
        val meter = Meter()
        println("load average at the start: ${loadAverage()}")
        println("| subject | at | figure | unit |")
        println("| --- | --- | --- | --- |")
        measureMessages(meter, ::printRow)
        measureSettings(meter, ::printRow)
        measureLedger(meter, ::printRow)
        measureDecisions(meter, ::printRow)
        println("load average at the end: ${loadAverage()}")
    }

    private fun printRow(row: Row) {
        val figure = if (row.figure < 100) "%.2f" else "%,.0f"
        println("| ${row.subject} | ${row.at} | ${String.format(Locale.ROOT, figure, row.figure)} | ${row.unit} |")
    }

    private fun loadAverage(): String =
        String.format(Locale.ROOT, "%.1f", ManagementFactory.getOperatingSystemMXBean().systemLoadAverage)
}

/** One figure of the table. */
internal data class Row(
    val subject: String,
    val at: String,
    val figure: Double,
    val unit: String,
)
