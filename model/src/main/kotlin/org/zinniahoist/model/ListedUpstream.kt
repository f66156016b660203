package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Identity that a running upstream process reports for itself. */
@JvmInline
@Serializable
public value class UpstreamIdentity(public val value: String) {
    override fun toString(): String = value
}

/** Entry of the platform's list of upstreams. */
@Serializable
public data class ListedUpstream(
    public val identity: UpstreamIdentity,
    public val service: ServiceName,
    public val endpoint: Endpoint,
    public val failureDomain: String,
    /** Maximum number of concurrent requests. */
    public val slots: Int,
    public val isLeaving: Boolean,
    public val versions: Map<ModelName, WeightVersion> = emptyMap(),
)
