package org.zinniahoist.experiment.virtual

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.util.Locale
import kotlin.time.Duration.Companion.minutes

/** Measures the decision objects in virtual time. */
@OptIn(ExperimentalCli::class)
internal class VirtualCommand : Subcommand("virtual", "Measures policies in virtual time.") {
    private val scenario by option(ArgType.String, "scenario", description = "Scenario names, or all").default("all")
    private val deployment by option(ArgType.String, "deployment", description = "hrubec, concordia or all")
        .default("all")
    private val seeds by option(ArgType.String, "seeds", description = "Seeds, separated by commas").default("1")
    private val policy by option(ArgType.String, "policy", description = "chosen, baseline or both").default("both")
    private val plain by option(ArgType.String, "plain", description = "Decisions that run their baseline").default("")
    private val live by option(ArgType.Boolean, "live-only", description = "Leaves the trainers out").default(false)
    private val csv by option(ArgType.Boolean, "csv", description = "One line for each run").default(false)
    private val minutes by option(ArgType.Int, "minutes", description = "Virtual time of a run").default(30)

    override fun execute() {
        val columns = listOf("deployment", "scenario", "policy") + Measure.entries.map { it.label }
        if (csv) println((listOf("seed") + columns).joinToString(",")) else printRow(columns)
        if (!csv) printRow(columns.map { "---" })
        val names = if (policy == "both") listOf("baseline", "chosen") else listOf(policy)
        for (deployment in matching(Deployment.entries, deployment) { it.name.lowercase() }) {
            for (scenario in matching(Scenario.entries, scenario) { it.label }) {
                names.forEach { measure(deployment, scenario, it) }
            }
        }
    }

    private fun measure(deployment: Deployment, scenario: Scenario, name: String) {
        val replaced = when {
            name == "baseline" -> Decision.entries.toSet()
            plain.isEmpty() -> DEFAULT_PLAIN
            else -> DEFAULT_PLAIN + matching(Decision.entries, plain) { it.label }
        }
        val results = seeds.split(',').map { it.trim().toLong() }.associateWith { seed ->
            VirtualRun(deployment, scenario, seed, PolicySet(replaced), withTrainers = !live).run(minutes.minutes)
        }
        val label = listOf(deployment.name.lowercase(), scenario.label, if (plain.isEmpty()) name else "$name-$plain")
        if (csv) {
            results.forEach { (seed, result) ->
                println((listOf("$seed") + label + Measure.entries.map { format(it, result) }).joinToString(","))
            }
        } else {
            printRow(label + Measure.entries.map { summary(it, results.values.toList()) })
        }
    }

    /** Returns the median, and the smallest and the largest value if they differ. */
    private fun summary(measure: Measure, results: List<Map<Measure, Double>>): String {
        val sorted = results.sortedBy { it.getValue(measure) }.map { format(measure, it) }
        val spread = if (sorted.first() == sorted.last()) "" else " (${sorted.first()}–${sorted.last()})"
        return sorted[sorted.size / 2] + spread
    }

    private fun format(measure: Measure, result: Map<Measure, Double>): String =
        String.format(Locale.ROOT, "%.${measure.decimals}f", result.getValue(measure))

    private fun printRow(cells: List<String>) = println(cells.joinToString(" | ", "| ", " |"))

    private fun <T> matching(all: List<T>, names: String, nameOf: (T) -> String): List<T> {
        if (names == "all") return all
        return names.split(',').map { name ->
            requireNotNull(all.find { nameOf(it) == name.trim() }) { "unknown name '$name', known: ${all.map(nameOf)}" }
        }
    }

    private companion object {
        /** Decisions whose chosen implementation did not help. */
        val DEFAULT_PLAIN = setOf(Decision.HEDGING)
    }
}
