package org.zinniahoist.daemon.entry

import org.zinniahoist.model.Moment
import org.zinniahoist.model.TrainingContract
import org.zinniahoist.model.WeightVersion
import org.zinniahoist.policy.staleness.SampleForecast
import org.zinniahoist.policy.staleness.StalenessSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Tracks the weight versions of a trainer and forecasts the staleness of its samples. */
internal class SampleForecaster(contract: TrainingContract) {
    val terms = StalenessSettings(contract.stalenessBound, contract.stalenessPreference)
    private var version: WeightVersion? = null
    private var versionSince: Moment? = null
    private var interval: Duration = DEFAULT_WEIGHTS_INTERVAL

    fun onVersion(announced: WeightVersion, now: Moment) {
        val known = version
        if (known != null && announced <= known) return
        val since = versionSince
        if (known != null && since != null) interval = (now - since) / (announced.number - known.number).toDouble()
        versionSince = now
        version = announced
    }

    /** Returns the forecast of a sample whose oldest version is [oldest], or null before the first [onVersion]. */
    fun of(oldest: WeightVersion, remainingTokens: Double, now: Moment): SampleForecast? {
        val current = version ?: return null
        val since = versionSince ?: return null
        val remaining = (remainingTokens.coerceAtLeast(0.0) / EXPECTED_TOKENS_PER_SECOND).seconds
        return SampleForecast(
            trainerVersion = current,
            oldestVersion = oldest,
            expectedRemaining = remaining,
            expectedTotal = remaining,
            untilNextWeights = (interval - (now - since)).takeIf { it.isPositive() },
            weightsInterval = interval,
            terms = terms,
        )
    }

    private companion object {
        /** Assumed time between weight versions until the trainer has announced two of them. */
        val DEFAULT_WEIGHTS_INTERVAL = 3.minutes

        /** Assumed generation rate of one attempt, in tokens per second. */
        const val EXPECTED_TOKENS_PER_SECOND = 50.0
    }
}
