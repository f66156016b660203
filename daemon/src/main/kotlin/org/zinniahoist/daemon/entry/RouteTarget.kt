package org.zinniahoist.daemon.entry

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.Upstream

/** Identifies the upstreams that can serve a request: the engines of a model or the instances of a plain service. */
internal sealed interface RouteTarget {
    data class Model(val name: ModelName) : RouteTarget

    data class Service(val name: ServiceName) : RouteTarget

    companion object {
        fun of(upstream: Upstream): RouteTarget = when (upstream) {
            is Upstream.ModelEngine -> Model(upstream.model)
            is Upstream.PlainService -> Service(upstream.service)
        }
    }
}
