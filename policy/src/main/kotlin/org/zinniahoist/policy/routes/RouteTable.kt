package org.zinniahoist.policy.routes

import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import kotlin.random.Random

/** Finds the route of a request. Immutable, so that one request sees one configuration. */
public class RouteTable(configuration: ServiceConfiguration) {
    /** Revision of the configuration. */
    public val revision: Revision = configuration.revision

    /** Bounds on what a client may send, or null if the configuration states none. */
    public val limits: ClientLimits? = configuration.limits
    private val byHost = configuration.routes
        .groupBy { it.host }
        .mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }

    /** Returns the route with the longest prefix that begins [path], or null. */
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

/** Returns a service of the route, drawn by the weights of its shares. */
public fun Route.drawService(random: Random): ServiceName {
    var rest = random.nextInt(shares.sumOf { it.weight })
    for (share in shares) {
        rest -= share.weight
        if (rest < 0) return share.service
    }
    return shares.last().service
}
