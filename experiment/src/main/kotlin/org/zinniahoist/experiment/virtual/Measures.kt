package org.zinniahoist.experiment.virtual

import org.HdrHistogram.Histogram
import org.zinniahoist.model.SampleIdentifier
import kotlin.time.Duration

/** What a run counts. */
internal class Measures {
    private val firstToken = Histogram(3)
    private val staleness = ArrayList<Long>()
    private val delivered = HashSet<SampleIdentifier>()
    var deliveredTokens = 0L
        private set
    var thrownAwayTokens = 0L
    var liveRequests = 0
    var refusals = 0
    var failures = 0
    var hedges = 0
    var steps = 0
    var brokenPromises = 0
        private set
    val idleTimes = ArrayList<Double>()

    fun onFirstToken(elapsed: Duration) = firstToken.recordValue(elapsed.inWholeMicroseconds)

    fun onDelivered(
        sample: SampleIdentifier,
        tokens: Int,
        stale: Long,
        bound: Int,
    ) {
        if (!delivered.add(sample) || stale > bound) brokenPromises += 1
        deliveredTokens += tokens
        staleness.add(stale)
    }

    fun result(): Map<Measure, Double> = mapOf(
        Measure.IDLE to idleTimes.average() * PERCENT,
        Measure.STEPS to steps.toDouble(),
        Measure.STALENESS_MEDIAN to (staleness.sorted().getOrNull(staleness.size / 2) ?: 0).toDouble(),
        Measure.STALENESS_MEAN to staleness.average(),
        Measure.STALENESS_MAX to (staleness.maxOrNull() ?: 0).toDouble(),
        Measure.FIRST_TOKEN_P50 to firstToken.getValueAtPercentile(50.0) / MICROSECONDS,
        Measure.FIRST_TOKEN_P99 to firstToken.getValueAtPercentile(99.0) / MICROSECONDS,
        Measure.THROWN_AWAY to thrownAwayTokens * PERCENT / deliveredTokens.coerceAtLeast(1),
        Measure.REFUSALS to refusals * PERCENT / liveRequests.coerceAtLeast(1),
        Measure.FAILURES to failures * PERCENT / liveRequests.coerceAtLeast(1),
        Measure.HEDGES to hedges.toDouble(),
        Measure.BROKEN to brokenPromises.toDouble(),
    )

    private companion object {
        const val PERCENT = 100.0
        const val MICROSECONDS = 1_000.0
    }
}

/** A figure of a run, with its name and the number of its decimals. */
internal enum class Measure(
    val label: String,
    val decimals: Int,
) {
    IDLE("idle %", 1),
    STEPS("steps", 0),
    STALENESS_MEDIAN("stale median", 0),
    STALENESS_MEAN("stale mean", 2),
    STALENESS_MAX("stale max", 0),
    FIRST_TOKEN_P50("first token p50 ms", 0),
    FIRST_TOKEN_P99("first token p99 ms", 0),
    THROWN_AWAY("thrown away %", 2),
    REFUSALS("refused %", 2),
    FAILURES("failed %", 2),
    HEDGES("hedges", 0),
    BROKEN("broken", 0),
}
