package org.zinniahoist.wire

import kotlinx.serialization.Serializable
import org.zinniahoist.model.WeightVersion

/** Load of one upstream, measured by its sidecar. */
@Serializable
public data class LoadReport(
    /** Number of attempts that are running on the upstream. */
    public val running: Int = 0,
    /** Number of attempts that are queued in the sidecar. */
    public val waiting: Int = 0,
    /** Maximum number of attempts that the sidecar runs concurrently on the upstream. */
    public val concurrencyLimit: Int = 1,
    /** Mean service time of an attempt on the upstream, in milliseconds. */
    public val serviceMilliseconds: Double = 0.0,
    /** Version that the upstream serves, or null if it is unknown or the upstream has no weights. */
    public val version: WeightVersion? = null,
    /** Whether the upstream accepts requests. */
    public val available: Boolean = true,
)
