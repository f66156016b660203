package org.zinniahoist.wire

import kotlinx.serialization.Serializable
import org.zinniahoist.model.WeightVersion

/** Load of one upstream as its sidecar measures it. */
@Serializable
public data class LoadReport(
    /** Attempts that the upstream has been given. */
    public val running: Int = 0,
    /** Attempts that the sidecar holds back. */
    public val waiting: Int = 0,
    /** Attempts that the sidecar gives to the upstream at once. */
    public val concurrencyLimit: Int = 1,
    /** Mean time in milliseconds that an attempt spends on the upstream. */
    public val serviceMilliseconds: Double = 0.0,
    /** Version that the upstream serves, or null if it is unknown or the upstream has no weights. */
    public val version: WeightVersion? = null,
    /** Whether the upstream takes requests. */
    public val available: Boolean = true,
)
