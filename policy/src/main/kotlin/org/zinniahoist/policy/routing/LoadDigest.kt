package org.zinniahoist.policy.routing

import kotlinx.serialization.Serializable

/**
 * Load of one upstream as its sidecar measures it. Heartbeats and ends of attempts carry it.
 *
 * @property running attempts that the upstream has been given.
 * @property waiting attempts that the sidecar holds back.
 * @property concurrencyLimit attempts that the sidecar gives to the upstream at once.
 * @property serviceMilliseconds mean time that the attempts at the sidecar are expected to spend on the upstream, or 0
 * if there are none. The mean of ended attempts would be too short while long ones run.
 */
@Serializable
public data class LoadDigest(
    public val running: Int,
    public val waiting: Int,
    public val concurrencyLimit: Int,
    public val serviceMilliseconds: Double,
)
