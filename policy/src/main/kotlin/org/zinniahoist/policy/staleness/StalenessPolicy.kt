package org.zinniahoist.policy.staleness

import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration

/** Decides whether a sample can still be fresh enough. */
public interface StalenessPolicy {
    /** Decides about a sample that has not started. */
    public fun beforeStart(outlook: SampleOutlook): StartDecision

    /** Decides about a sample that runs. */
    public fun whileRunning(outlook: SampleOutlook): RunDecision

    /** Decides about a finished sample whose label's oldest version is [oldest]. */
    public fun atDelivery(oldest: WeightVersion, trainerVersion: WeightVersion, terms: StalenessTerms): DeliveryDecision
}

/**
 * Terms of a trainer.
 *
 * @property bound largest allowed staleness in versions.
 * @property preference between trainer idle time (0) and staleness (1).
 */
public data class StalenessTerms(
    public val bound: Int,
    public val preference: Double,
)

/**
 * What is expected of a sample.
 *
 * @property oldestVersion oldest version in the sample's label, or the engine's version if it has not started.
 * @property expectedRemaining time until the sample is expected to be delivered.
 * @property expectedTotal time that the sample would take if it started now.
 * @property untilNextWeights time until the trainer's next version, or null if none is expected.
 * @property weightsInterval time between two versions of the trainer.
 */
public data class SampleOutlook(
    public val trainerVersion: WeightVersion,
    public val oldestVersion: WeightVersion,
    public val expectedRemaining: Duration,
    public val expectedTotal: Duration,
    public val untilNextWeights: Duration?,
    public val weightsInterval: Duration,
    public val terms: StalenessTerms,
)

/** What to do with a sample that has not started. */
public enum class StartDecision { START, WAIT_FOR_WEIGHTS }

/** What to do with a sample that runs. */
public enum class RunDecision { CONTINUE, ABANDON }

/** What to do with a finished sample. */
public enum class DeliveryDecision { DELIVER, DRAFT_AGAIN }
