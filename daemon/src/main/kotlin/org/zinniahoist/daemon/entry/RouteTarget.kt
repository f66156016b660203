package org.zinniahoist.daemon.entry

import org.zinniahoist.model.ModelName
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.Upstream

/** What a request is for. */
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
