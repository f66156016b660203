package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** IP address and TCP port. */
@Serializable
public data class Endpoint(
    public val host: String,
    public val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses [text] of the form `host:port`. Returns null if it is malformed. */
        public fun parse(text: String): Endpoint? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isEmpty() || port == null || port !in 1..MAXIMUM_PORT) null else Endpoint(host, port)
        }

        private const val MAXIMUM_PORT = 65_535
    }
}

/** Function of a daemon in the deployment. One process can have several roles. */
@Serializable
public enum class Role {
    /** Accepts requests from callers and trainers and routes them to sidecars. */
    ENTRY,

    /** Runs next to one upstream and proxies its requests; the upstream is reachable only through it. */
    SIDECAR,

    /** Hosts replicas of the consensus groups that store the durable state. */
    CONTROL,
}

/** A machine that runs one daemon. */
@Serializable
public data class Instance(
    public val name: InstanceName,
    public val failureDomain: FailureDomain,
    public val linkEndpoint: Endpoint,
    public val roles: Set<Role>,
)
