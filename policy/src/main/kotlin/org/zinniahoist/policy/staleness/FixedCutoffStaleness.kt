package org.zinniahoist.policy.staleness

import org.zinniahoist.model.WeightVersion

/** Baseline policy: compares the current staleness with the bound, without a forecast. */
public class FixedCutoffStaleness : StalenessPolicy {
    override fun beforeStart(outlook: SampleForecast): StartDecision =
        if (exceedsBound(outlook)) StartDecision.WAIT_FOR_WEIGHTS else StartDecision.START

    override fun whileRunning(outlook: SampleForecast): RunDecision =
        if (exceedsBound(outlook)) RunDecision.ABANDON else RunDecision.CONTINUE

    override fun atDelivery(
        oldest: WeightVersion,
        trainerVersion: WeightVersion,
        terms: StalenessSettings,
    ): DeliveryDecision = deliveryDecision(oldest, trainerVersion, terms)

    private fun exceedsBound(outlook: SampleForecast): Boolean =
        outlook.trainerVersion.number - outlook.oldestVersion.number > outlook.terms.bound
}

/** Decides on delivery by the bound alone, whatever the forecast was before. */
internal fun deliveryDecision(
    oldest: WeightVersion,
    trainerVersion: WeightVersion,
    terms: StalenessSettings,
): DeliveryDecision =
    if (trainerVersion.number - oldest.number > terms.bound) DeliveryDecision.DRAFT_AGAIN else DeliveryDecision.DELIVER
