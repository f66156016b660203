package org.zinniahoist.policy.staleness

import org.zinniahoist.model.WeightVersion

/** Baseline: the bound is the one cutoff, and nothing is foreseen. */
public class FixedCutoffStaleness : StalenessPolicy {
    override fun beforeStart(outlook: SampleOutlook): StartDecision =
        if (exceeds(outlook)) StartDecision.WAIT_FOR_WEIGHTS else StartDecision.START

    override fun whileRunning(outlook: SampleOutlook): RunDecision =
        if (exceeds(outlook)) RunDecision.ABANDON else RunDecision.CONTINUE

    override fun atDelivery(
        oldest: WeightVersion,
        trainerVersion: WeightVersion,
        terms: StalenessTerms,
    ): DeliveryDecision = deliveryWithin(oldest, trainerVersion, terms)

    private fun exceeds(outlook: SampleOutlook): Boolean =
        outlook.trainerVersion.number - outlook.oldestVersion.number > outlook.terms.bound
}

/** Delivers no sample over the bound, whatever was expected before. */
internal fun deliveryWithin(
    oldest: WeightVersion,
    trainerVersion: WeightVersion,
    terms: StalenessTerms,
): DeliveryDecision =
    if (trainerVersion.number - oldest.number > terms.bound) DeliveryDecision.DRAFT_AGAIN else DeliveryDecision.DELIVER
