package org.zinniahoist.policy.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [EstimatedWaitRouter].
 *
 * @property spillWait expected wait from which upstreams farther away are considered.
 * @property regionPenalty wait that an upstream in another failure domain must save to be chosen.
 * @property elsewherePenalty wait that an upstream in another region must save to be chosen.
 * @property hintHalfLife age at which a report counts half, and the mean of all reports the other half.
 * @property affinityLoadFactor load, relative to the mean, up to which an upstream is chosen for its prefix cache.
 * @property crowdingShare part of the service time that a full upstream adds compared with an empty one.
 */
public data class RoutingSettings(
    public val spillWait: Duration = 250.milliseconds,
    public val regionPenalty: Duration = 20.milliseconds,
    public val elsewherePenalty: Duration = 200.milliseconds,
    public val hintHalfLife: Duration = 2.seconds,
    public val affinityLoadFactor: Double = 1.25,
    public val crowdingShare: Double = 0.25,
    public val defaultConcurrencyLimit: Int = 32,
    public val defaultServiceTime: Duration = 2.seconds,
    public val ejection: EjectionSettings = EjectionSettings(),
)

/**
 * Settings of outlier ejection.
 *
 * @property consecutiveFailures failures in a row that eject an upstream.
 * @property failureRate smoothed share of failures that ejects an upstream.
 * @property duration time of the first ejection. Each further one without an answer between is twice as long.
 */
public data class EjectionSettings(
    public val consecutiveFailures: Int = 5,
    public val failureRate: Double = 0.5,
    public val duration: Duration = 10.seconds,
    public val maximumDuration: Duration = 5.minutes,
) {
    internal companion object {
        /** At most one upstream in three is ejected, as more failures than that are no outliers. */
        const val EJECTED_DIVISOR = 3
    }
}
