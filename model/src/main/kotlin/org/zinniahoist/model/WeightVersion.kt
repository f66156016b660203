package org.zinniahoist.model

import kotlinx.serialization.Serializable

/** Version number of a model's weights. Newer weights have larger numbers. */
@JvmInline
@Serializable
public value class WeightVersion(public val number: Long) : Comparable<WeightVersion> {
    override fun compareTo(other: WeightVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()
}
