package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Name of a region: failure domains that are near each other. */
@JvmInline
@Serializable
public value class Region(public val value: String) {
    override fun toString(): String = value
}

/** A set of instances in one [region] that can fail together. */
@Serializable
public data class FailureDomain(
    public val name: String,
    public val region: Region,
)
