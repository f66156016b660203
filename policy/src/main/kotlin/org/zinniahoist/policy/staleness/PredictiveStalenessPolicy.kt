package org.zinniahoist.policy.staleness

import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration

/**
 * Predicts the staleness at delivery from the expected remaining time and the expected arrivals of new weights.
 *
 * For a trainer that prefers less idle time, the policy shortens the expected durations and starts samples immediately.
 * For a trainer that prefers less staleness, it lengthens them and waits for weights that arrive soon.
 */
public class PredictiveStalenessPolicy : StalenessPolicy {
    override fun beforeStart(forecast: SampleForecast): StartDecision {
        val untilNext = forecast.untilNextWeights
        val currentStaleness = forecast.trainerVersion.number - forecast.oldestVersion.number
        if (currentStaleness > forecast.terms.bound) return StartDecision.WAIT_FOR_WEIGHTS
        if (untilNext == null) return StartDecision.START
        val stalenessIfStarted =
            currentStaleness + forecast.arrivalsWithin(forecast.expectedRemaining * durationFactor(forecast.terms))
        val stalenessIfDelayed = stalenessAfterFreshStart(forecast)
        val delayMeetsBound = stalenessIfStarted > forecast.terms.bound && stalenessIfDelayed <= forecast.terms.bound
        val waitInIntervals = untilNext / forecast.weightsInterval
        val idleCost = (1 - forecast.terms.preference) * waitInIntervals * IDLE_COST_VERSIONS
        val worthWaiting = forecast.terms.preference * (stalenessIfStarted - stalenessIfDelayed) > idleCost
        return if (delayMeetsBound || worthWaiting) StartDecision.WAIT_FOR_WEIGHTS else StartDecision.START
    }

    override fun whileRunning(forecast: SampleForecast): RunDecision {
        val currentStaleness = forecast.trainerVersion.number - forecast.oldestVersion.number
        if (currentStaleness > forecast.terms.bound) return RunDecision.ABANDON
        val stalenessIfContinued =
            currentStaleness + forecast.arrivalsWithin(forecast.expectedRemaining * durationFactor(forecast.terms))
        val stalenessIfRestarted = forecast.arrivalsWithin(forecast.expectedTotal)
        val restartMeetsBound =
            stalenessIfContinued > forecast.terms.bound && stalenessIfRestarted <= forecast.terms.bound
        return if (restartMeetsBound) RunDecision.ABANDON else RunDecision.CONTINUE
    }

    override fun atDelivery(
        oldest: WeightVersion,
        trainerVersion: WeightVersion,
        terms: StalenessSettings,
    ): DeliveryDecision = deliveryDecision(oldest, trainerVersion, terms)

    /** Returns the predicted staleness at delivery of a sample that starts when the next weights arrive. */
    private fun stalenessAfterFreshStart(forecast: SampleForecast): Long =
        (forecast.expectedTotal * durationFactor(forecast.terms) / forecast.weightsInterval).toLong()

    private fun durationFactor(terms: StalenessSettings): Double =
        MINIMUM_DURATION_FACTOR + DURATION_FACTOR_RANGE * terms.preference

    private fun SampleForecast.arrivalsWithin(time: Duration): Long {
        val first = untilNextWeights
        return if (first == null || time < first) 0 else 1 + ((time - first) / weightsInterval).toLong()
    }

    private companion object {
        /** At a preference of 0.5, one weights interval of idle time costs as much as four versions of staleness. */
        const val IDLE_COST_VERSIONS = 4.0
        const val MINIMUM_DURATION_FACTOR = 0.8
        const val DURATION_FACTOR_RANGE = 0.4
    }
}
