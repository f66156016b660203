package org.zinniahoist.policy.routes

import org.zinniahoist.model.ServiceName
import org.zinniahoist.model.WorkspaceName

/** How serious a [ReviewFinding] is. */
public enum class FindingSeverity {
    /** The service refuses the configuration. */
    ERROR,

    /** The service accepts the configuration, but a part of it has no effect or contradicts another. */
    WARNING,
}

/** Part of a configuration to which a [ReviewFinding] refers. */
public sealed interface ConfigurationPart {
    /** The route with [name]. */
    public data class OfRoute(public val name: String) : ConfigurationPart

    /** The service with [name]. */
    public data class OfService(public val name: ServiceName) : ConfigurationPart

    /** The workspace with [name]. */
    public data class OfWorkspace(public val name: WorkspaceName) : ConfigurationPart

    /** The limits on the size of requests. */
    public data object Limits : ConfigurationPart

    /** The configuration as a whole. */
    public data object Whole : ConfigurationPart
}

/** Field to which a [ReviewFinding] refers. */
public enum class ConfigurationField {
    REVISION,
    NAME,
    HOST,
    PATH_PREFIX,
    TIMEOUT,
    TARGET,
    SHARES,
    MAXIMUM_ATTEMPTS,
    MAXIMUM_CONNECTIONS,
    KEYS,
    BODY_BYTES,
    HEADER_BYTES,
}

/** A fault or a questionable part of a configuration. */
public data class ReviewFinding(
    public val severity: FindingSeverity,
    public val part: ConfigurationPart,
    public val field: ConfigurationField,
    public val message: String,
)

/** Paths that the service itself answers for some methods, whatever the routes say. */
public data class ReservedPrefix(
    public val prefix: String,
    public val methods: Set<String>,
)

/** What a configuration states or meets beyond the fields of [ServiceConfiguration]. */
public class ReviewContext(
    public val reserved: List<ReservedPrefix> = emptyList(),
    /** Stated attempts of each route by name, before they are raised to one. */
    public val statedAttempts: Map<String, Int> = emptyMap(),
)

/** How a part of a configuration differs from another one. */
public enum class ChangeKind { ADDED, REMOVED, CHANGED }

/** A part of a configuration that differs. [details] has no key of a workspace. */
public data class ConfigurationChange(
    public val kind: ChangeKind,
    public val part: ConfigurationPart,
    public val details: List<String> = emptyList(),
)
