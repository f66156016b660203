package org.zinniahoist.policy.rollout

import kotlin.math.ceil
import kotlin.time.Duration

/**
 * Settings of [WavePlanner].
 *
 * @property storeTransfers maximum number of concurrent transfers from the store, within its rate limit.
 * @property fanOut maximum number of concurrent transfers from one sidecar.
 * @property waveShare maximum share of the engines of a failure domain that swap concurrently.
 */
public data class RolloutSettings(
    public val storeTransfers: Int = 8,
    public val fanOut: Int = 3,
    public val waveShare: Double = 0.25,
)

/**
 * Estimates the time until [samplers] engines serve a new version.
 *
 * In each [hop], the store and every sidecar that already has the weights transfer them to further sidecars. The swap
 * waves are counted after the last hop, because most sidecars receive the weights in it.
 *
 * @param hop duration of one transfer.
 * @param swap duration of one swap.
 */
public fun rolloutTime(
    samplers: Int,
    hop: Duration,
    swap: Duration,
    settings: RolloutSettings = RolloutSettings(),
): Duration = hop * rolloutHops(samplers, settings) + swap * ceil(1 / settings.waveShare)

/** Returns the number of hops until [samplers] sidecars have a new version. */
public fun rolloutHops(samplers: Int, settings: RolloutSettings = RolloutSettings()): Int {
    var holders = 0L
    var hops = 0
    while (holders < samplers) {
        holders += holders * settings.fanOut + settings.storeTransfers
        hops += 1
    }
    return hops
}
