package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Name of a region, which groups failure domains with low latency between them. */
@JvmInline
@Serializable
public value class Region(public val value: String) {
    override fun toString(): String = value
}

/** Set of instances in one [region] that can fail together, such as an availability zone. */
@Serializable
public data class FailureDomain(
    public val name: String,
    public val region: Region,
)
