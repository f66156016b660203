package org.zinniahoist.policy.routing

import kotlinx.serialization.Serializable

/**
 * Load of one upstream as measured by its sidecar. Heartbeats and `end` frames carry it.
 *
 * @property running number of attempts that run on the upstream.
 * @property waiting number of attempts in the admission queue of the sidecar.
 * @property concurrencyLimit maximum number of attempts that the sidecar runs on the upstream concurrently.
 * @property serviceMilliseconds mean expected service time of the running and queued attempts in milliseconds, or 0 if
 * there are none. The mean of completed attempts would underestimate it while long attempts are still running.
 */
@Serializable
public data class LoadDigest(
    public val running: Int,
    public val waiting: Int,
    public val concurrencyLimit: Int,
    public val serviceMilliseconds: Double,
)
