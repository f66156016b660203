package org.zinniahoist.policy.routes

import org.zinniahoist.model.RequestTarget
import org.zinniahoist.policy.routes.ConfigurationPart.OfRoute
import org.zinniahoist.policy.routes.ConfigurationPart.OfService
import org.zinniahoist.policy.routes.ConfigurationPart.OfWorkspace

/** Reviews a configuration before it is sent: errors, parts without effect, and limits that contradict each other. */
public object ConfigurationReview {
    /** Returns the findings of [configuration], errors first. */
    public fun review(
        configuration: ServiceConfiguration,
        context: ReviewContext = ReviewContext(),
    ): List<ReviewFinding> = buildList {
        faultsOf(configuration).mapTo(this) { errorOf(it, configuration) }
        for (route in configuration.routes) {
            addAll(unmatched(route, context.reserved))
            addAll(contradictions(route, context))
        }
        addAll(duplicateNames(configuration))
        addAll(unusedServices(configuration))
        for (service in configuration.services) connectionsBelowSlots(service)?.let(::add)
        for (workspace in configuration.workspaces.orEmpty().filter { it.keys.isEmpty() }) {
            add(warning(OfWorkspace(workspace.name), ConfigurationField.KEYS, "no key, so no request can belong to it"))
        }
        configuration.limits?.let { addAll(limits(it)) }
    }.distinct()

    /** Returns a warning if [configuration] would change nothing where the revision of [present] is in force. */
    public fun reviewRevision(configuration: ServiceConfiguration, present: ServiceConfiguration): ReviewFinding? {
        if (configuration.revision > present.revision) return null
        val message = "${configuration.revision} is not above ${present.revision}, so it is acknowledged and ignored"
        return warning(ConfigurationPart.Whole, ConfigurationField.REVISION, message)
    }

    private fun warning(part: ConfigurationPart, field: ConfigurationField, message: String) =
        ReviewFinding(FindingSeverity.WARNING, part, field, message)

    private fun error(part: ConfigurationPart, field: ConfigurationField, message: String) =
        ReviewFinding(FindingSeverity.ERROR, part, field, message)

    private fun errorOf(fault: ConfigurationFault, configuration: ServiceConfiguration): ReviewFinding = when (fault) {
        is ConfigurationFault.Unreadable -> error(ConfigurationPart.Whole, ConfigurationField.NAME, fault.detail)

        is ConfigurationFault.UnknownService ->
            error(OfRoute(fault.route), ConfigurationField.SHARES, "service '${fault.service}' is not listed")

        is ConfigurationFault.NoWeight ->
            error(OfRoute(fault.route), ConfigurationField.SHARES, "a weight is negative, or none is positive")

        is ConfigurationFault.NoTimeout ->
            error(OfRoute(fault.route), ConfigurationField.TIMEOUT, "must be positive")

        is ConfigurationFault.MalformedPrefix ->
            error(OfRoute(fault.route), ConfigurationField.PATH_PREFIX, "must begin and end with a slash")

        is ConfigurationFault.DuplicatePlace -> {
            val names = configuration.routes
                .filter { it.host == fault.host && it.pathPrefix == fault.pathPrefix }
                .map { it.name }
            val message = "host '${fault.host}' and prefix '${fault.pathPrefix}' are those of ${names.joinToString()}"
            error(OfRoute(names.last()), ConfigurationField.PATH_PREFIX, message)
        }

        is ConfigurationFault.SharedKey ->
            error(OfWorkspace(fault.workspace), ConfigurationField.KEYS, "a key is also one of '${fault.other}'")
    }

    private fun unmatched(route: Route, reserved: List<ReservedPrefix>): List<ReviewFinding> = buildList {
        val part = OfRoute(route.name)
        hostProblem(route.host)?.let { add(warning(part, ConfigurationField.HOST, it)) }
        if (!RequestTarget.isValid(route.pathPrefix) && route.pathPrefix.startsWith('/') || '?' in route.pathPrefix) {
            val message = "'${route.pathPrefix}' never matches: no accepted path contains these characters"
            add(warning(part, ConfigurationField.PATH_PREFIX, message))
        }
        for (taken in reserved.filter { route.pathPrefix.startsWith(it.prefix) }) {
            val methods = taken.methods.joinToString(" and ")
            val message = "$methods requests below '${taken.prefix}' never match: the service answers them itself"
            add(warning(part, ConfigurationField.PATH_PREFIX, message))
        }
    }

    /** The lookup compares the host of a request, without its port, exactly. */
    private fun hostProblem(host: String): String? = when {
        host.isEmpty() -> "is empty, and at most requests that name no host match it"
        ':' in host -> "'$host' never matches: hosts are compared without a port"
        host.any { it !in VISIBLE_CHARACTERS || it in CHARACTERS_WITHOUT_HOST } ->
            "'$host' never matches: requests with such a host are refused"
        host.any { it.isUpperCase() } -> "'$host' matches at most in this case, and most clients send lower case"
        !host.all { it.isLetterOrDigit() || it in HOST_PUNCTUATION } ->
            "'$host' is compared exactly, without wildcards, and common clients send no such host"
        else -> null
    }

    private fun contradictions(route: Route, context: ReviewContext): List<ReviewFinding> = buildList {
        val part = OfRoute(route.name)
        if (route.target > route.timeout) {
            val message = "${route.target} is above the timeout ${route.timeout}"
            add(warning(part, ConfigurationField.TARGET, message))
        }
        val attempts = context.statedAttempts[route.name] ?: route.maximumAttempts
        if (attempts < 1) {
            add(warning(part, ConfigurationField.MAXIMUM_ATTEMPTS, "$attempts is below one; one attempt is made"))
        }
        // Attempts at a route with one share go to several upstreams of its service.
        if (route.shares.size > 1 && attempts > route.shares.size) {
            val message = "$attempts is above the number of shares, ${route.shares.size}"
            add(warning(part, ConfigurationField.MAXIMUM_ATTEMPTS, message))
        }
        for (share in route.shares.filter { it.weight == 0 }) {
            val message = "service '${share.service}' has weight 0 and gets no requests of this route"
            add(warning(part, ConfigurationField.SHARES, message))
        }
        val keep = route.batch?.keep
        if (keep != null && route.timeout > keep) {
            val message = "${route.timeout} is above the time for which items are kept, $keep"
            add(warning(part, ConfigurationField.TIMEOUT, message))
        }
    }

    private fun duplicateNames(configuration: ServiceConfiguration): List<ReviewFinding> {
        val parts = configuration.routes.map { OfRoute(it.name) } +
            configuration.services.map { OfService(it.name) } +
            configuration.workspaces.orEmpty().map { OfWorkspace(it.name) }
        return parts.groupingBy { it }.eachCount().filterValues { it > 1 }.map { (part, count) ->
            warning(part, ConfigurationField.NAME, "$count entries have this name")
        }
    }

    private fun unusedServices(configuration: ServiceConfiguration): List<ReviewFinding> {
        val used = configuration.routes.flatMapTo(HashSet()) { it.services }
        return configuration.services.filter { it.name !in used }.map {
            warning(OfService(it.name), ConfigurationField.NAME, "no route sends requests to it")
        }
    }

    private fun connectionsBelowSlots(service: ServiceEntry): ReviewFinding? {
        val slots = service.engine?.slots ?: return null
        // Without a stated number, zero is decoded, which limits nothing.
        if (service.maximumConnections !in 1 until slots) return null
        val message = "${service.maximumConnections} is below the slots of an upstream, $slots"
        return warning(OfService(service.name), ConfigurationField.MAXIMUM_CONNECTIONS, message)
    }

    private fun limits(limits: ClientLimits): List<ReviewFinding> = buildList {
        if (limits.headerBytes <= 0) {
            val message = "${limits.headerBytes} refuses each request"
            add(warning(ConfigurationPart.Limits, ConfigurationField.HEADER_BYTES, message))
        }
        if (limits.bodyBytes <= 0) {
            val message = "${limits.bodyBytes} refuses each request with a body"
            add(warning(ConfigurationPart.Limits, ConfigurationField.BODY_BYTES, message))
        }
    }

    private val VISIBLE_CHARACTERS = '!'..'~'

    /** A request whose host contains one of these is malformed. */
    private const val CHARACTERS_WITHOUT_HOST = "/?#@,\\"
    private const val HOST_PUNCTUATION = "-._~"
}
