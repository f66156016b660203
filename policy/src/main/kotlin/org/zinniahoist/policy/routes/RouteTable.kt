package org.zinniahoist.policy.routes

import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WorkspaceName
import kotlin.random.Random

/** Matches requests to routes. Immutable, so that each request is handled under a single configuration. */
public class RouteTable(configuration: ServiceConfiguration) {
    /** Revision of the configuration. */
    public val revision: Revision = configuration.revision

    /** Limits on the size of client requests, or null if the configuration sets none. */
    public val limits: ClientLimits? = configuration.limits

    /** Whether the configuration has workspaces, so that callers need keys. */
    public val hasWorkspaces: Boolean = configuration.workspaces != null

    /** Bounds of the number of upstreams, by service; other services are left alone. */
    public val scaling: Map<ServiceName, ScalingBounds> =
        configuration.services.mapNotNull { service -> service.scaling?.let { service.name to it } }.toMap()
    private val workspacesByKey = configuration.workspaces.orEmpty()
        .flatMap { workspace -> workspace.keys.map { it to workspace } }
        .toMap()
    private val prioritiesByWorkspace = configuration.workspaces.orEmpty()
        .mapNotNull { workspace -> workspace.priority?.let { workspace.name to it } }
        .toMap()

    /** Memory of each engine in tokens, for the services whose configuration names it. */
    public val engineMemory: Map<ServiceName, Long> = configuration.services
        .mapNotNull { service -> service.engine?.memoryTokens?.let { service.name to it } }
        .toMap()
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

    /** Returns the workspace to which [key] belongs, or null if no workspace has it. */
    public fun workspaceOf(key: String): WorkspaceName? = workspacesByKey[key]?.name

    /** Returns the priority of a request of [workspace] on [route]: that of the workspace, if it has one. */
    public fun priorityOf(route: Route, workspace: WorkspaceName?): Int =
        workspace?.let(prioritiesByWorkspace::get) ?: route.priority
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
