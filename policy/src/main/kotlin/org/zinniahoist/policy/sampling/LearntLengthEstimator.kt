package org.zinniahoist.policy.sampling

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * Learns the logarithm of lengths per group, drawn towards all groups while a group has few finished samples.
 *
 * Keeps the groups of the last [maximumGroups] observations.
 */
public class LearntLengthEstimator(private val maximumGroups: Int = 8_192) : LengthEstimator {
    private val all = Moments()
    private val within = Moments()
    private val groups = object : LinkedHashMap<GroupKey, Moments>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<GroupKey, Moments>): Boolean =
            size > maximumGroups
    }

    override fun observe(group: GroupKey, tokens: Int) {
        val length = ln(tokens.coerceAtLeast(1).toDouble())
        val moments = groups.getOrPut(group) { Moments() }
        // The deviation from the mean of n samples has the variance (1 + 1 / n) of one sample.
        if (moments.count > 0) within.add((length - moments.mean) / sqrt(1 + 1 / moments.count))
        moments.add(length)
        all.add(length)
    }

    override fun estimate(group: GroupKey, generated: Int, maximumTokens: Int): LengthEstimate {
        val limit = maximumTokens.toDouble()
        if (all.count < MINIMUM_SAMPLES) return LengthEstimate(maxOf(generated.toDouble(), limit / 2), limit)
        val known = groups[group]
        val count = known?.count ?: 0.0
        val mean = (PRIOR_SAMPLES * all.mean + count * (known?.mean ?: 0.0)) / (PRIOR_SAMPLES + count)
        val total = all.variance.coerceAtLeast(MINIMUM_VARIANCE)
        val inside = if (within.count < MINIMUM_SAMPLES) total else within.meanSquare.coerceIn(MINIMUM_VARIANCE, total)
        val deviation = sqrt(inside + (total - inside) * PRIOR_SAMPLES / (PRIOR_SAMPLES + count))
        val expected = expectedBeyond(generated, mean, deviation).coerceIn(generated.toDouble(), limit)
        val upper = maxOf(exp(mean + UPPER_DEVIATIONS * deviation), expected * exp(deviation / 2)).coerceAtMost(limit)
        return LengthEstimate(expected, maxOf(upper, expected))
    }

    /** Mean of a log-normal length, given that it is at least [generated]. */
    private fun expectedBeyond(generated: Int, mean: Double, deviation: Double): Double {
        val whole = exp(mean + deviation * deviation / 2)
        if (generated <= 0) return whole
        val position = (ln(generated.toDouble()) - mean) / deviation
        val survival = normalDistribution(-position)
        if (survival < MINIMUM_SURVIVAL) return generated * TAIL_FACTOR
        return maxOf(whole * normalDistribution(deviation - position) / survival, generated.toDouble())
    }

    private companion object {
        const val MINIMUM_SAMPLES = 8.0
        const val PRIOR_SAMPLES = 2.0
        const val MINIMUM_VARIANCE = 0.01

        /** One normal value in ten is this many standard deviations above the mean. */
        const val UPPER_DEVIATIONS = 1.2816
        const val MINIMUM_SURVIVAL = 1e-4
        const val TAIL_FACTOR = 1.2
    }
}

/** Running mean and variance in which old values fade after some thousand new ones. */
internal class Moments {
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

/** Approximation 26.2.17 of Abramowitz and Stegun, with an error below 1e-7. */
internal fun normalDistribution(x: Double): Double {
    if (x < 0) return 1 - normalDistribution(-x)
    val t = 1 / (1 + 0.2316419 * x)
    val series = t * (0.319381530 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))))
    return 1 - exp(-x * x / 2) / sqrt(2 * Math.PI) * series
}
