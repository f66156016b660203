package org.zinniahoist.policy.rollout

import kotlin.math.ceil
import kotlin.time.Duration

/**
 * Settings of [WavePlanner].
 *
 * @property storeTransfers transfers that the store's rate limit allows at once.
 * @property fanOut transfers that a sidecar serves at once.
 * @property waveShare share of a failure domain's engines that swap at once.
 */
public data class RolloutSettings(
    public val storeTransfers: Int = 8,
    public val fanOut: Int = 3,
    public val waveShare: Double = 0.25,
)

/**
 * Returns the time until [samplers] engines serve a new version.
 *
 * Each [hop] the store seeds new sidecars and each sidecar that holds the weights passes them on. The waves follow on
 * the last hop, as most sidecars get the weights in it.
 */
public fun rolloutTime(
    samplers: Int,
    hop: Duration,
    swap: Duration,
    settings: RolloutSettings = RolloutSettings(),
): Duration = hop * rolloutHops(samplers, settings) + swap * ceil(1 / settings.waveShare)

/** Returns the number of hops until [samplers] sidecars hold a new version. */
public fun rolloutHops(samplers: Int, settings: RolloutSettings = RolloutSettings()): Int {
    var holders = 0L
    var hops = 0
    while (holders < samplers) {
        holders += holders * settings.fanOut + settings.storeTransfers
        hops += 1
    }
    return hops
}
