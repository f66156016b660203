package org.zinniahoist.policy.sampling

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Fits a log-normal distribution of sample lengths per group.
 *
 * Shrinks the estimate of a group with few completed samples towards the distribution of all groups. Keeps the
 * [maximumGroups] groups that were used most recently.
 */
public class LogNormalLengthEstimator(private val maximumGroups: Int = 8_192) : LengthEstimator {
    private val allSamples = RunningMoments()

    /** Deviations of samples from the mean of their group, scaled to the variance of one sample. */
    private val deviations = RunningMoments()
    private val groups = object : LinkedHashMap<GroupKey, RunningMoments>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<GroupKey, RunningMoments>): Boolean =
            size > maximumGroups
    }

    override fun observe(group: GroupKey, tokens: Int) {
        val length = ln(tokens.coerceAtLeast(1).toDouble())
        val moments = groups.getOrPut(group) { RunningMoments() }
        // The deviation of a sample from the mean of n other samples has (1 + 1 / n) times the variance of one sample.
        if (moments.count > 0) deviations.add((length - moments.mean) / sqrt(1 + 1 / moments.count))
        moments.add(length)
        allSamples.add(length)
    }

    override fun estimate(group: GroupKey, generated: Int, maximumTokens: Int): LengthEstimate {
        val limit = maximumTokens.toDouble()
        if (allSamples.count < MINIMUM_SAMPLES) return LengthEstimate(maxOf(generated.toDouble(), limit / 2), limit)
        val groupMoments = groups[group]
        val count = groupMoments?.count ?: 0.0
        val mean =
            (PRIOR_SAMPLES * allSamples.mean + count * (groupMoments?.mean ?: 0.0)) / (PRIOR_SAMPLES + count)
        val total = allSamples.variance.coerceAtLeast(MINIMUM_VARIANCE)
        val groupVariance =
            if (deviations.count < MINIMUM_SAMPLES) total else deviations.meanSquare.coerceIn(MINIMUM_VARIANCE, total)
        val deviation = sqrt(groupVariance + (total - groupVariance) * PRIOR_SAMPLES / (PRIOR_SAMPLES + count))
        val expected = conditionalMean(generated, mean, deviation).coerceIn(generated.toDouble(), limit)
        val upper =
            maxOf(exp(mean + UPPER_DEVIATIONS * deviation), expected * exp(deviation / 2)).coerceAtMost(limit)
        return LengthEstimate(expected, maxOf(upper, expected))
    }

    /** Returns the conditional mean of a log-normal length, given that it is at least [generated]. */
    private fun conditionalMean(generated: Int, mean: Double, deviation: Double): Double {
        val unconditionalMean = exp(mean + deviation * deviation / 2)
        if (generated <= 0) return unconditionalMean
        val deviationsFromMean = (ln(generated.toDouble()) - mean) / deviation
        val survival = normalDistribution(-deviationsFromMean)
        if (survival < MINIMUM_SURVIVAL) return generated * TAIL_FACTOR
        return maxOf(
            unconditionalMean * normalDistribution(deviation - deviationsFromMean) / survival,
            generated.toDouble(),
        )
    }

    private companion object {
        const val MINIMUM_SAMPLES = 8.0
        const val PRIOR_SAMPLES = 2.0
        const val MINIMUM_VARIANCE = 0.01

        /** 90th percentile of the standard normal distribution. */
        const val UPPER_DEVIATIONS = 1.2816
        const val MINIMUM_SURVIVAL = 1e-4
        const val TAIL_FACTOR = 1.2
    }
}

/** Running mean and variance. Old values decay exponentially once [MAXIMUM_COUNT] values have been added. */
internal class RunningMoments {
    var count = 0.0
        private set
    var mean = 0.0
        private set
    private var squares = 0.0

    val variance: Double get() = if (count > 1) squares / count else 0.0
    val meanSquare: Double get() = variance + mean * mean

    fun add(value: Double) {
        if (count >= MAXIMUM_COUNT) {
            squares *= (count - 1) / count
            count -= 1
        }
        count += 1
        val difference = value - mean
        mean += difference / count
        squares += difference * (value - mean)
    }

    private companion object {
        const val MAXIMUM_COUNT = 4_096.0
    }
}

/** Standard normal distribution function, approximated by 26.2.17 of Abramowitz and Stegun (error below 1e-7). */
internal fun normalDistribution(x: Double): Double {
    if (x < 0) return 1 - normalDistribution(-x)
    val t = 1 / (1 + 0.2316419 * x)
    val series = t * (0.319381530 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))))
    return 1 - exp(-x * x / 2) / sqrt(2 * Math.PI) * series
}
