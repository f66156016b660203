package org.zinniahoist.policy.admission

import org.zinniahoist.model.Moment
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Settings of [ThroughputConcurrencyLimiter].
 *
 * @property initial limit before the first adjustment.
 * @property minimum lower bound of the limit.
 * @property maximum upper bound of the limit.
 * @property targetThroughputShare fraction of the maximum token throughput of the engine that the limit targets.
 * @property liveFirstTokenTarget target for the time to first token of live attempts.
 * @property startingLimit number of attempts without a first token from which no training attempt starts.
 * @property window interval between two adjustments of the limit.
 */
public data class LimiterSettings(
    public val initial: Int = 16,
    public val minimum: Int = 2,
    public val maximum: Int = 256,
    public val targetThroughputShare: Double = 0.9,
    public val liveFirstTokenTarget: Duration = 500.milliseconds,
    public val startingLimit: Int = 2,
    public val window: Duration = 1.seconds,
)

/**
 * Adapts the concurrency limit to the measured token throughput of the engine.
 *
 * Fits the decoding step time as a linear function of the number of concurrent attempts, and sets the limit where
 * further attempts would hardly increase the throughput. Live attempts that miss the target for the time to first token
 * increase the share of slots that is reserved for them.
 */
public class ThroughputConcurrencyLimiter(private val settings: LimiterSettings = LimiterSettings()) :
    ConcurrencyLimiter {
    private val stepTime = DecayingLinearFit()
    private var throughputLimit = settings.initial.toDouble()
    private var reserveShare = MINIMUM_RESERVE_SHARE
    private var windowStart: Moment? = null
    private var windowTokens = 0
    private var windowRunning = 0.0
    private var windowReportCount = 0
    private var slowFirstTokens = 0
    private var firstTokens = 0

    override val limit: Int
        get() = throughputLimit.toInt().coerceIn(settings.minimum, settings.maximum)

    override val trainingLimit: Int
        get() = (limit - ceil(limit * reserveShare).toInt()).coerceAtLeast(1)

    override val startingLimit: Int get() = settings.startingLimit

    override fun onTokens(tokens: Int, running: Int, now: Moment) {
        val start = windowStart ?: now.also { windowStart = it }
        windowTokens += tokens
        windowRunning += running
        windowReportCount += 1
        if (now - start >= settings.window) endWindow(now - start, now)
    }

    override fun onLiveFirstToken(elapsed: Duration, now: Moment) {
        firstTokens += 1
        if (elapsed > settings.liveFirstTokenTarget) slowFirstTokens += 1
    }

    private fun endWindow(elapsed: Duration, now: Moment) {
        val running = windowRunning / windowReportCount
        val rate = windowTokens / elapsed.toDouble(DurationUnit.SECONDS)
        if (running >= 1 && rate > 0) {
            stepTime.add(running, running / rate)
            adaptLimit(running)
        }
        adaptReserve()
        windowStart = now
        windowTokens = 0
        windowRunning = 0.0
        windowReportCount = 0
    }

    /** With a step time of `a + b * n`, throughput reaches a share `f` of its maximum at `n = f / (1 - f) * a / b`. */
    private fun adaptLimit(running: Double) {
        val concurrencyFactor = settings.targetThroughputShare / (1 - settings.targetThroughputShare)
        val targetLimit = stepTime.interceptSlopeRatio()?.let { concurrencyFactor * it } ?: settings.maximum.toDouble()
        val saturated = running >= SATURATED_SHARE * minOf(limit, trainingLimit)
        val boundedLimit = targetLimit.coerceIn(
            throughputLimit * (1 - MAXIMUM_RELATIVE_CHANGE),
            throughputLimit * (1 + MAXIMUM_RELATIVE_CHANGE) + 1,
        )
        if (saturated || boundedLimit < throughputLimit) throughputLimit = boundedLimit
        throughputLimit = throughputLimit.coerceIn(settings.minimum.toDouble(), settings.maximum.toDouble())
    }

    private fun adaptReserve() {
        if (firstTokens < MINIMUM_FIRST_TOKENS) return
        if (slowFirstTokens > firstTokens * MAXIMUM_SLOW_SHARE) {
            reserveShare = (reserveShare * 2).coerceAtMost(MAXIMUM_RESERVE_SHARE)
        } else {
            reserveShare = (reserveShare * RESERVE_DECAY).coerceAtLeast(MINIMUM_RESERVE_SHARE)
        }
        firstTokens = 0
        slowFirstTokens = 0
    }

    private companion object {
        const val MINIMUM_RESERVE_SHARE = 0.1
        const val MAXIMUM_RESERVE_SHARE = 0.6
        const val RESERVE_DECAY = 0.9
        const val SATURATED_SHARE = 0.9
        const val MAXIMUM_RELATIVE_CHANGE = 0.1
        const val MINIMUM_FIRST_TOKENS = 20

        /** The target is missed if more than this share of the live attempts have a slow first token. */
        const val MAXIMUM_SLOW_SHARE = 0.1
    }
}

/** Least-squares fit of `y = a + b * x` with exponentially decaying weights of old points. */
internal class DecayingLinearFit {
    private var weight = 0.0
    private var sumX = 0.0
    private var sumY = 0.0
    private var sumXX = 0.0
    private var sumXY = 0.0

    fun add(x: Double, y: Double) {
        weight = weight * DECAY_FACTOR + 1
        sumX = sumX * DECAY_FACTOR + x
        sumY = sumY * DECAY_FACTOR + y
        sumXX = sumXX * DECAY_FACTOR + x * x
        sumXY = sumXY * DECAY_FACTOR + x * y
    }

    /** Returns `a / b`, or null if the points do not determine it. */
    fun interceptSlopeRatio(): Double? {
        val variance = sumXX / weight - (sumX / weight) * (sumX / weight)
        if (weight < MINIMUM_POINTS || variance < MINIMUM_VARIANCE) return null
        val slope = (sumXY / weight - sumX / weight * sumY / weight) / variance
        val intercept = (sumY - slope * sumX) / weight
        return if (slope > 0 && intercept > 0) intercept / slope else null
    }

    private companion object {
        const val DECAY_FACTOR = 0.99
        const val MINIMUM_POINTS = 5.0
        const val MINIMUM_VARIANCE = 0.5
    }
}
