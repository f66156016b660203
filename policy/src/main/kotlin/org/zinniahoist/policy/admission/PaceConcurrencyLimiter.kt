package org.zinniahoist.policy.admission

import org.zinniahoist.model.Moment
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Settings of [PaceConcurrencyLimiter].
 *
 * @property fullness share of the engine's greatest token rate that the limit aims at.
 * @property liveFirstTokenTarget time to the first token of a live attempt that is held.
 * @property startingLimit attempts without a first token from which trainers wait.
 * @property window time between two changes of the limit.
 */
public data class LimiterSettings(
    public val initial: Int = 16,
    public val minimum: Int = 2,
    public val maximum: Int = 256,
    public val fullness: Double = 0.9,
    public val liveFirstTokenTarget: Duration = 500.milliseconds,
    public val startingLimit: Int = 2,
    public val window: Duration = 1.seconds,
)

/**
 * Learns how the time of one token step grows with the number of attempts, and sets the limit where more attempts add
 * little to the token rate. Slow first tokens of live attempts raise the part that is kept free for them.
 */
public class PaceConcurrencyLimiter(private val settings: LimiterSettings = LimiterSettings()) : ConcurrencyLimiter {
    private val stepTime = LinearFit()
    private var fullLimit = settings.initial.toDouble()
    private var reserveShare = MINIMUM_RESERVE
    private var windowStart: Moment? = null
    private var windowTokens = 0
    private var windowRunning = 0.0
    private var windowReports = 0
    private var slowFirstTokens = 0
    private var firstTokens = 0

    override val limit: Int
        get() = fullLimit.toInt().coerceIn(settings.minimum, settings.maximum)

    override val trainingLimit: Int
        get() = (limit - ceil(limit * reserveShare).toInt()).coerceAtLeast(1)

    override val startingLimit: Int get() = settings.startingLimit

    override fun onTokens(tokens: Int, running: Int, now: Moment) {
        val start = windowStart ?: now.also { windowStart = it }
        windowTokens += tokens
        windowRunning += running
        windowReports += 1
        if (now - start >= settings.window) endWindow(now - start, now)
    }

    override fun onLiveFirstToken(elapsed: Duration, now: Moment) {
        firstTokens += 1
        if (elapsed > settings.liveFirstTokenTarget) slowFirstTokens += 1
    }

    private fun endWindow(elapsed: Duration, now: Moment) {
        val running = windowRunning / windowReports
        val rate = windowTokens / elapsed.toDouble(DurationUnit.SECONDS)
        if (running >= 1 && rate > 0) {
            stepTime.add(running, running / rate)
            adapt(running)
        }
        adaptToFirstTokens()
        windowStart = now
        windowTokens = 0
        windowRunning = 0.0
        windowReports = 0
    }

    /** With a step time of `a + b * n`, the token rate reaches its share f at `n = f / (1 - f) * a / b`. */
    private fun adapt(running: Double) {
        val share = settings.fullness / (1 - settings.fullness)
        val aim = stepTime.ratio()?.let { share * it } ?: settings.maximum.toDouble()
        val full = running >= FULL_SHARE * minOf(limit, trainingLimit)
        val change = aim.coerceIn(fullLimit * (1 - MAXIMUM_CHANGE), fullLimit * (1 + MAXIMUM_CHANGE) + 1)
        if (full || change < fullLimit) fullLimit = change
        fullLimit = fullLimit.coerceIn(settings.minimum.toDouble(), settings.maximum.toDouble())
    }

    private fun adaptToFirstTokens() {
        if (firstTokens < MINIMUM_FIRST_TOKENS) return
        if (slowFirstTokens > firstTokens * SLOW_SHARE) {
            reserveShare = (reserveShare * 2).coerceAtMost(MAXIMUM_RESERVE)
        } else {
            reserveShare = (reserveShare * RESERVE_DECAY).coerceAtLeast(MINIMUM_RESERVE)
        }
        firstTokens = 0
        slowFirstTokens = 0
    }

    private companion object {
        const val MINIMUM_RESERVE = 0.1
        const val MAXIMUM_RESERVE = 0.6
        const val RESERVE_DECAY = 0.9
        const val FULL_SHARE = 0.9
        const val MAXIMUM_CHANGE = 0.1
        const val MINIMUM_FIRST_TOKENS = 20

        /** More slow first tokens than this share mean that the target is missed. */
        const val SLOW_SHARE = 0.1
    }
}

/** Least squares of `y = a + b * x` in which old points fade. */
internal class LinearFit {
    private var weight = 0.0
    private var sumX = 0.0
    private var sumY = 0.0
    private var sumXX = 0.0
    private var sumXY = 0.0

    fun add(x: Double, y: Double) {
        weight = weight * FADING + 1
        sumX = sumX * FADING + x
        sumY = sumY * FADING + y
        sumXX = sumXX * FADING + x * x
        sumXY = sumXY * FADING + x * y
    }

    /** Returns `a / b`, or null if the points do not tell. */
    fun ratio(): Double? {
        val variance = sumXX / weight - (sumX / weight) * (sumX / weight)
        if (weight < MINIMUM_POINTS || variance < MINIMUM_VARIANCE) return null
        val slope = (sumXY / weight - sumX / weight * sumY / weight) / variance
        val intercept = (sumY - slope * sumX) / weight
        return if (slope > 0 && intercept > 0) intercept / slope else null
    }

    private companion object {
        const val FADING = 0.99
        const val MINIMUM_POINTS = 5.0
        const val MINIMUM_VARIANCE = 0.5
    }
}
