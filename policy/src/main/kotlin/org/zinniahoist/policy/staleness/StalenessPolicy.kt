package org.zinniahoist.policy.staleness

import org.zinniahoist.model.WeightVersion
import kotlin.time.Duration

/** Decides whether samples can be delivered within the staleness bound of their trainer. */
public interface StalenessPolicy {
    /** Decides whether a sample starts now or waits for new weights. */
    public fun beforeStart(forecast: SampleForecast): StartDecision

    /** Decides whether a running sample continues. */
    public fun whileRunning(forecast: SampleForecast): RunDecision

    /** Decides whether a completed sample is delivered. [oldest] is the oldest weight version in its label. */
    public fun atDelivery(
        oldest: WeightVersion,
        trainerVersion: WeightVersion,
        terms: StalenessSettings,
    ): DeliveryDecision
}

/**
 * Staleness settings of a trainer.
 *
 * @property bound maximum staleness at delivery, in weight versions.
 * @property preference weight of staleness against trainer idle time, from 0 (avoid idle time) to 1 (avoid staleness).
 */
public data class StalenessSettings(
    public val bound: Int,
    public val preference: Double,
)

/**
 * Forecast for a sample.
 *
 * @property trainerVersion current weight version of the trainer.
 * @property oldestVersion oldest weight version in the label of the sample, or the version of the engine if the sample
 * has not started.
 * @property expectedRemaining expected time until the sample is delivered.
 * @property expectedTotal expected duration of the sample if it started now.
 * @property untilNextWeights expected time until the next weight version of the trainer, or null if none is expected.
 * @property weightsInterval expected time between two weight versions of the trainer.
 */
public data class SampleForecast(
    public val trainerVersion: WeightVersion,
    public val oldestVersion: WeightVersion,
    public val expectedRemaining: Duration,
    public val expectedTotal: Duration,
    public val untilNextWeights: Duration?,
    public val weightsInterval: Duration,
    public val terms: StalenessSettings,
)

/** Decision on a sample that has not started. */
public enum class StartDecision { START, WAIT_FOR_WEIGHTS }

/** Decision on a running sample. */
public enum class RunDecision { CONTINUE, ABANDON }

/** Decision on a completed sample. */
public enum class DeliveryDecision { DELIVER, DRAFT_AGAIN }
