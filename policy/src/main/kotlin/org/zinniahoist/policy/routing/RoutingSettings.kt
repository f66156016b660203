package org.zinniahoist.policy.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [EstimatedWaitRouter].
 *
 * @property spilloverWait estimated queueing delay above which the router also considers more distant upstreams.
 * @property regionPenalty minimum delay that an upstream in another failure domain must save to be selected.
 * @property otherRegionPenalty minimum delay that an upstream in another region must save to be selected.
 * @property reportHalfLife age at which a load report has half its weight. The mean of all reports has the other half.
 * @property affinityLoadFactor maximum load, relative to the mean, at which prefix affinity selects an upstream.
 * @property fullLoadSlowdown increase of the service time on a fully loaded upstream, relative to an idle one.
 * @property defaultConcurrencyLimit concurrency limit that is assumed for an upstream before its first report.
 * @property defaultServiceTime service time that is assumed for an upstream before its first report.
 */
public data class RoutingSettings(
    public val spilloverWait: Duration = 250.milliseconds,
    public val regionPenalty: Duration = 20.milliseconds,
    public val otherRegionPenalty: Duration = 200.milliseconds,
    public val reportHalfLife: Duration = 2.seconds,
    public val affinityLoadFactor: Double = 1.25,
    public val fullLoadSlowdown: Double = 0.25,
    public val defaultConcurrencyLimit: Int = 32,
    public val defaultServiceTime: Duration = 2.seconds,
    public val ejection: EjectionSettings = EjectionSettings(),
)

/**
 * Settings of outlier ejection.
 *
 * @property consecutiveFailures number of consecutive failures after which an upstream is ejected.
 * @property failureRate exponentially smoothed failure rate from which an upstream is ejected.
 * @property duration duration of the first ejection. It doubles with each ejection until the failure rate has dropped
 * below half of [failureRate].
 * @property maximumDuration upper bound on the duration of an ejection.
 */
public data class EjectionSettings(
    public val consecutiveFailures: Int = 5,
    public val failureRate: Double = 0.5,
    public val duration: Duration = 10.seconds,
    public val maximumDuration: Duration = 5.minutes,
) {
    internal companion object {
        /** Limits ejection to one upstream in three. More simultaneous failures are an outage, not outliers. */
        const val EJECTED_DIVISOR = 3
    }
}
