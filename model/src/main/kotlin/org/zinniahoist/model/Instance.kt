package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** An IP address and a TCP port. */
@Serializable
public data class Endpoint(
    public val host: String,
    public val port: Int,
) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses `host:port` and returns null if [text] has another form. */
        public fun parse(text: String): Endpoint? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isEmpty() || port == null || port !in 1..MAXIMUM_PORT) null else Endpoint(host, port)
        }

        private const val MAXIMUM_PORT = 65_535
    }
}

/** What a daemon does for the deployment. One process can have several roles. */
@Serializable
public enum class Role {
    /** Accepts requests of callers and trainers and routes them to sidecars. */
    ENTRY,

    /** Stands beside one upstream and is the only path to it. */
    SIDECAR,

    /** Holds replicas of the durable state. */
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
