package org.zinniahoist.gateway.entry

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import kotlin.time.Duration

/** Selects an upstream for each request and updates its statistics from the outcomes. */
internal interface UpstreamChooser {
    /** Returns an upstream of [service] that is not in [excluded], or null if none is available. */
    fun choose(service: ServiceName, excluded: Set<UpstreamIdentity>): ListedUpstream?

    /** Records that a request to [upstream] ended after [latency]; [isSuccess] if its response can be forwarded. */
    fun onEnded(upstream: UpstreamIdentity, latency: Duration, isSuccess: Boolean)
}
