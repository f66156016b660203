package org.zinniahoist.policy.routes

import org.zinniahoist.model.Revision
import org.zinniahoist.model.ServiceName
import kotlin.time.Duration

/** What may be repeated on a route. */
public enum class RouteKind {
    /** A request may run more than once. */
    REPEATABLE,

    /** A request may run at most once. */
    AT_MOST_ONCE,

    /** The answer is a series of events; a request may run at most once. */
    EVENT_STREAM,

    /** Batch jobs are submitted and their items run later. */
    BATCH,
}

/** Share of a route's requests that a service gets, relative to the other shares. */
public data class ServiceShare(
    public val service: ServiceName,
    public val weight: Int,
)

/** One route of a [ServiceConfiguration]. */
public data class Route(
    public val name: String,
    public val host: String,
    /** Begins and ends with a slash. */
    public val pathPrefix: String,
    public val kind: RouteKind,
    /** Longest time that a request may be kept waiting. */
    public val timeout: Duration,
    /** Time within which an answer has its full worth. */
    public val target: Duration,
    /** Rank of the route; 0 is the highest. */
    public val priority: Int,
    public val shares: List<ServiceShare>,
    /** Upstreams to which one request may be sent. */
    public val maximumAttempts: Int,
    public val batch: BatchTerms? = null,
) {
    /** Services to which requests of the route may go. */
    public val services: Set<ServiceName>
        get() = shares.filter { it.weight > 0 }.mapTo(LinkedHashSet()) { it.service }
}

/** Terms of a route for batch jobs. */
public data class BatchTerms(
    /** Time after the submission at which the results are due. */
    public val due: Duration,
    /** Time after the submission at which an item may be given up. */
    public val keep: Duration,
    /** True if the tokens of one sample must come from the same weights. */
    public val singleVersion: Boolean,
)

/** A service that routes name. */
public data class ServiceEntry(
    public val name: ServiceName,
    /** Connections that one upstream accepts from all callers together. */
    public val maximumConnections: Int,
)

/** Bounds on what a client may send. */
public data class ClientLimits(
    public val bodyBytes: Long,
    public val headerBytes: Int,
)

/** A configuration of routes and services as the operator sent it. */
public data class ServiceConfiguration(
    public val revision: Revision,
    public val routes: List<Route>,
    public val services: List<ServiceEntry>,
    public val limits: ClientLimits?,
)

/** Why a configuration is refused. */
public sealed interface ConfigurationFault {
    /** The document can't be read in full. */
    public data class Unreadable(public val detail: String) : ConfigurationFault

    /** A route names a service that is not in the configuration. */
    public data class UnknownService(
        public val route: String,
        public val service: ServiceName,
    ) : ConfigurationFault

    /** Two routes have the same host and prefix. */
    public data class DuplicatePlace(
        public val host: String,
        public val pathPrefix: String,
    ) : ConfigurationFault

    /** The weights of a route add up to nothing. */
    public data class NoWeight(public val route: String) : ConfigurationFault

    /** A route has no time to answer. */
    public data class NoTimeout(public val route: String) : ConfigurationFault

    /** A prefix doesn't begin and end with a slash. */
    public data class MalformedPrefix(public val route: String) : ConfigurationFault
}

/** Returns the first fault of [configuration], or null if it is valid. */
public fun faultOf(configuration: ServiceConfiguration): ConfigurationFault? {
    val services = configuration.services.mapTo(HashSet()) { it.name }
    val places = HashSet<Pair<String, String>>()
    return configuration.routes.firstNotNullOfOrNull { route ->
        val unknown = route.shares.find { it.service !in services }
        when {
            unknown != null -> ConfigurationFault.UnknownService(route.name, unknown.service)
            route.shares.any { it.weight < 0 } -> ConfigurationFault.NoWeight(route.name)
            route.shares.sumOf { it.weight } <= 0 -> ConfigurationFault.NoWeight(route.name)
            !route.timeout.isPositive() -> ConfigurationFault.NoTimeout(route.name)
            !isPrefix(route.pathPrefix) -> ConfigurationFault.MalformedPrefix(route.name)
            !places.add(route.host to route.pathPrefix) ->
                ConfigurationFault.DuplicatePlace(route.host, route.pathPrefix)
            else -> null
        }
    }
}

private fun isPrefix(text: String): Boolean = text.startsWith("/") && text.endsWith("/")
