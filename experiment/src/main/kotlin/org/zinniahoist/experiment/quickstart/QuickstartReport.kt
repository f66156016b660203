package org.zinniahoist.experiment.quickstart

import org.HdrHistogram.Histogram
import org.zinniahoist.standin.client.LiveOutcome
import org.zinniahoist.standin.client.TrainerTally
import java.util.Locale
import kotlin.time.Duration

/** Results of a quick start. */
internal class QuickstartReport(
    private val expectedSamples: Int,
    private val tally: TrainerTally,
    private val missingSamples: Int,
    private val waiting: Duration,
    private val training: Duration,
    private val streams: List<LiveOutcome>,
    private val orders: List<LiveOutcome>,
    private val repeatedExecutions: Int,
    private val executions: Int,
    private val tokensGenerated: Long,
) {
    private val answered = streams.filterIsInstance<LiveOutcome.Answered>()

    /** Promises that the run saw broken. */
    val brokenPromises: List<String> = buildList {
        addAll(tally.defects)
        if (missingSamples > 0) add("$missingSamples samples were not delivered")
        if (repeatedExecutions > 0) add("$repeatedExecutions orders ran more than once")
        answered.mapNotNull { it.defect }.forEach { add("a live answer was wrong: $it") }
    }

    fun render(): String = buildString {
        appendLine(
            "samples delivered     ${tally.samples} of $expectedSamples, repeated deliveries ${tally.redeliveries}",
        )
        appendLine("staleness in versions ${tally.staleness.groupingBy { it }.eachCount().toSortedMap()}")
        appendLine("trainer idle share    ${percent(waiting / (waiting + training))} (waited $waiting)")
        appendLine("tokens generated      $tokensGenerated")
        appendLine("live answers          ${count(streams)}")
        appendLine("live first token      ${milliseconds(answered.map { it.firstTokenNanoseconds })}")
        appendLine("live whole answer     ${milliseconds(answered.map { it.totalNanoseconds })}")
        appendLine("order confirmations   ${count(orders)}, executions $executions")
        append("promises broken       ${brokenPromises.size}")
        brokenPromises.take(SHOWN_BROKEN_PROMISES).forEach { append("\n  $it") }
    }

    private fun count(outcomes: List<LiveOutcome>): String {
        val whole = outcomes.count { it is LiveOutcome.Answered || it is LiveOutcome.Served }
        val refused = outcomes.filterIsInstance<LiveOutcome.Refused>()
        val broken = outcomes.filterIsInstance<LiveOutcome.Broken>()
        val examples = (refused.take(1).map { it.problem.toString() } + broken.take(1).map { it.cause }).joinToString()
        return "$whole whole, ${refused.size} refused, ${broken.size} broken $examples".trim()
    }

    private fun milliseconds(nanoseconds: List<Long>): String {
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        nanoseconds.forEach(histogram::recordValue)
        return "p50 ${render(histogram, 50.0)} ms, p99 ${render(histogram, 99.0)} ms"
    }

    private fun render(histogram: Histogram, percentile: Double): String =
        String.format(Locale.ROOT, "%.1f", histogram.getValueAtPercentile(percentile) / NANOSECONDS_PER_MILLISECOND)

    private fun percent(share: Double): String = String.format(Locale.ROOT, "%.1f%%", share * PERCENT)

    private companion object {
        const val SHOWN_BROKEN_PROMISES = 10
        const val SIGNIFICANT_DIGITS = 3
        const val NANOSECONDS_PER_MILLISECOND = 1e6
        const val PERCENT = 100
    }
}
