package org.zinniahoist.policy.staleness

import org.zinniahoist.model.WeightVersion

/** Baseline policy: compares the current staleness with the bound, without a forecast. */
public class FixedBoundStalenessPolicy : StalenessPolicy {
    override fun beforeStart(forecast: SampleForecast): StartDecision =
        if (exceedsBound(forecast)) StartDecision.WAIT_FOR_WEIGHTS else StartDecision.START

    override fun whileRunning(forecast: SampleForecast): RunDecision =
        if (exceedsBound(forecast)) RunDecision.ABANDON else RunDecision.CONTINUE

    override fun atDelivery(
        oldest: WeightVersion,
        trainerVersion: WeightVersion,
        terms: StalenessSettings,
    ): DeliveryDecision = deliveryDecision(oldest, trainerVersion, terms)

    private fun exceedsBound(forecast: SampleForecast): Boolean =
        forecast.trainerVersion.number - forecast.oldestVersion.number > forecast.terms.bound
}

/** Decides on delivery by the bound alone, whatever the forecast was before. */
internal fun deliveryDecision(
    oldest: WeightVersion,
    trainerVersion: WeightVersion,
    terms: StalenessSettings,
): DeliveryDecision =
    if (trainerVersion.number - oldest.number > terms.bound) DeliveryDecision.DRAFT_AGAIN else DeliveryDecision.DELIVER
