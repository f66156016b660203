package org.zinniahoist.gateway.entry

import org.zinniahoist.model.ListedUpstream
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.UpstreamIdentity
import kotlin.time.Duration

/** Chooses upstreams for single requests and learns from how these end. */
internal interface UpstreamChooser {
    /** Returns an upstream of [service] that is not in [excluded], or null if there is none. */
    fun choose(service: ServiceName, excluded: Set<UpstreamIdentity>): ListedUpstream?

    /** A request to [upstream] ended after [latency], [isSound] if with an answer that can be passed on. */
    fun onEnded(upstream: UpstreamIdentity, latency: Duration, isSound: Boolean)
}
