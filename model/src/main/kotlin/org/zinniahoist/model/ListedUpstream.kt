package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Identity of one running upstream, as it names itself. */
@JvmInline
@Serializable
public value class UpstreamIdentity(public val value: String) {
    override fun toString(): String = value
}

/** An upstream as the platform's list shows it. */
@Serializable
public data class ListedUpstream(
    public val identity: UpstreamIdentity,
    public val service: ServiceName,
    public val endpoint: Endpoint,
    public val failureDomain: String,
    /** Requests that run at once. */
    public val slots: Int,
    public val isLeaving: Boolean,
    public val versions: Map<ModelName, WeightVersion> = emptyMap(),
)
