package org.zinniahoist.policy.routes

import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import kotlin.random.Random

/** Matches requests to routes. Immutable, so that each request is handled under a single configuration. */
public class RouteTable(configuration: ServiceConfiguration) {
    /** Revision of the configuration. */
    public val revision: Revision = configuration.revision

    /** Limits on the size of client requests, or null if the configuration sets none. */
    public val limits: ClientLimits? = configuration.limits
    private val byHost = configuration.routes
        .groupBy { it.host }
        .mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }

    /** Returns the route of [host] with the longest prefix that matches [path], or null if none matches. */
    public fun find(host: String, path: String): Route? {
        val routes = byHost[host] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routes[path.substring(0, end + 1)]?.let { return it }
            end = path.lastIndexOf('/', end - 1)
        }
        return null
    }
}

/** Selects a service of the route at random, in proportion to the weights of its shares. */
public fun Route.drawService(random: Random): ServiceName {
    var remainder = random.nextInt(shares.sumOf { it.weight })
    for (share in shares) {
        remainder -= share.weight
        if (remainder < 0) return share.service
    }
    return shares.last().service
}
