package org.zinniahoist.policy.staleness

import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration

/**
 * Foresees the staleness at delivery from the expected remaining time and the expected arrival of weights.
 *
 * A trainer that dislikes idle time takes optimistic times and starts at once. A trainer that dislikes staleness takes
 * pessimistic times and waits for weights that are near.
 */
public class ForesightStaleness : StalenessPolicy {
    override fun beforeStart(outlook: SampleOutlook): StartDecision {
        val untilNext = outlook.untilNextWeights
        val present = outlook.trainerVersion.number - outlook.oldestVersion.number
        if (present > outlook.terms.bound) return StartDecision.WAIT_FOR_WEIGHTS
        if (untilNext == null) return StartDecision.START
        val started = present + outlook.arrivalsWithin(outlook.expectedRemaining * pessimism(outlook.terms))
        val waited = arrivalsFromFresh(outlook)
        val overBound = started > outlook.terms.bound && waited <= outlook.terms.bound
        val waitShare = untilNext / outlook.weightsInterval
        val idleCost = (1 - outlook.terms.preference) * waitShare * IDLE_COST
        val worthWaiting = outlook.terms.preference * (started - waited) > idleCost
        return if (overBound || worthWaiting) StartDecision.WAIT_FOR_WEIGHTS else StartDecision.START
    }

    override fun whileRunning(outlook: SampleOutlook): RunDecision {
        val present = outlook.trainerVersion.number - outlook.oldestVersion.number
        if (present > outlook.terms.bound) return RunDecision.ABANDON
        val finished = present + outlook.arrivalsWithin(outlook.expectedRemaining * pessimism(outlook.terms))
        val again = outlook.arrivalsWithin(outlook.expectedTotal)
        val better = finished > outlook.terms.bound && again <= outlook.terms.bound
        return if (better) RunDecision.ABANDON else RunDecision.CONTINUE
    }

    override fun atDelivery(
        oldest: WeightVersion,
        trainerVersion: WeightVersion,
        terms: StalenessTerms,
    ): DeliveryDecision = deliveryWithin(oldest, trainerVersion, terms)

    /** Staleness at delivery of a sample that starts just when the next weights arrive. */
    private fun arrivalsFromFresh(outlook: SampleOutlook): Long =
        (outlook.expectedTotal * pessimism(outlook.terms) / outlook.weightsInterval).toLong()

    private fun pessimism(terms: StalenessTerms): Double = MINIMUM_PESSIMISM + PESSIMISM_RANGE * terms.preference

    private fun SampleOutlook.arrivalsWithin(time: Duration): Long {
        val first = untilNextWeights
        return if (first == null || time < first) 0 else 1 + ((time - first) / weightsInterval).toLong()
    }

    private companion object {
        /** Idle time of one interval weighs as much as four versions at an even preference. */
        const val IDLE_COST = 4.0
        const val MINIMUM_PESSIMISM = 0.8
        const val PESSIMISM_RANGE = 0.4
    }
}
